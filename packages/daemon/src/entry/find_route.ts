import {
  listFallbackRoutes,
  type ObjectSet,
  type Pool,
  type Route,
  type Team,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import { createRefusal, type Refusal } from "./refusal.ts";

/** A route together with the pool it leads to. */
export interface RoutePair {
  readonly route: Route;
  readonly pool: Pool;
}

/** Finds the chat route of a model, given as `model` or `model:adapter`. */
export function findChatRoute(
  objects: ObjectSet,
  requestedModel: string,
): Result<RoutePair, Refusal> {
  const [modelName = "", adapter] = requestedModel.split(":");
  const model = objects.models.get(modelName);
  if (!model) return err(createModelRefusal(requestedModel));
  if (adapter !== undefined && !model.adapters.includes(adapter)) {
    return err(createModelRefusal(requestedModel));
  }
  for (const route of objects.routes.values()) {
    if (route.protocol !== "chat") continue;
    const pool = objects.pools.get(route.pool);
    if (pool?.model === modelName) return ok({ route, pool });
  }
  return err(createModelRefusal(requestedModel));
}

/** Finds a service route by its name. */
export function findServiceRoute(
  objects: ObjectSet,
  name: string,
): Result<RoutePair, Refusal> {
  const route = objects.routes.get(name);
  const pool = route && objects.pools.get(route.pool);
  if (!route || !pool || route.protocol !== "service") {
    const message = `route ${name} is not known; use a published service route`;
    return err(createRefusal(404, "unknown_route", message, { param: "path" }));
  }
  return ok({ route, pool });
}

/**
 * The pool that serves a route now: its own, or while that has no live target,
 * the first of its fallbacks that has one. The route's own rules stay in force.
 */
export function choosePool(
  objects: ObjectSet,
  { route, pool }: RoutePair,
  targets: Iterable<TargetView>,
): Pool {
  if (route.fallback === undefined) return pool;
  const livePools = new Set<string>();
  for (const target of targets) {
    if (target.state === "live") livePools.add(target.pool);
  }
  const serving = listFallbackRoutes(objects, route)
    .find((candidate) => livePools.has(candidate.pool));
  return serving ? objects.pools.get(serving.pool) ?? pool : pool;
}

/** Refuses a team that the route does not list. */
export function checkRouteTeam(
  route: Route,
  team: Team,
): Result<void, Refusal> {
  if (route.teams.length === 0) return ok(undefined);
  if (route.teams.includes(team.name)) return ok(undefined);
  const message =
    `team ${team.name} may not use route ${route.name}; ask the operators to list it`;
  return err(createRefusal(403, "team_not_allowed", message));
}

function createModelRefusal(requestedModel: string): Refusal {
  const message =
    `model ${requestedModel} is not served; use a published model`;
  return createRefusal(404, "model_not_found", message, { param: "model" });
}
