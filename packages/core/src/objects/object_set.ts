import type { Model, Pool, Route, Service, Team } from "./schemas.ts";
import type { FleetObject } from "./schemas.ts";

/** A complete validated configuration, by kind and name. */
export interface ObjectSet {
  readonly teams: ReadonlyMap<string, Team>;
  readonly models: ReadonlyMap<string, Model>;
  readonly services: ReadonlyMap<string, Service>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly routes: ReadonlyMap<string, Route>;
}

/** Groups validated objects by kind into an `ObjectSet`. */
export function createObjectSet(objects: Iterable<FleetObject>): ObjectSet {
  const teams = new Map<string, Team>();
  const models = new Map<string, Model>();
  const services = new Map<string, Service>();
  const pools = new Map<string, Pool>();
  const routes = new Map<string, Route>();
  for (const object of objects) {
    if (object.kind === "team") teams.set(object.name, object);
    if (object.kind === "model") models.set(object.name, object);
    if (object.kind === "service") services.set(object.name, object);
    if (object.kind === "pool") pools.set(object.name, object);
    if (object.kind === "route") routes.set(object.name, object);
  }
  return { teams, models, services, pools, routes };
}
