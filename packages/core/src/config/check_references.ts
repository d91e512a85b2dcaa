import type { ObjectKind, Pool, Route } from "../objects/index.ts";
import { type CheckInput, faultAt, type PlacedObject } from "./check_input.ts";
import type { ConfigFault } from "./config_fault.ts";

/** Finds references to objects that are not in the set or of a wrong use. */
export function checkReferences(input: CheckInput): ConfigFault[] {
  const faults = input.placed.flatMap((placed) => {
    if (placed.object.kind === "pool") {
      return checkPool(input, placed, placed.object);
    }
    if (placed.object.kind === "route") {
      return checkRoute(input, placed, placed.object);
    }
    return [];
  });
  return [...faults, ...checkSharedModels(input)];
}

/** A chat request names its model, so a model leads to one chat route. */
function checkSharedModels(input: CheckInput): ConfigFault[] {
  const faults: ConfigFault[] = [];
  const routeByModel = new Map<string, string>();
  for (const placed of input.placed) {
    const { object } = placed;
    if (object.kind !== "route" || object.protocol !== "chat") continue;
    const model = input.set.pools.get(object.pool)?.model;
    if (model === undefined) continue;
    const other = routeByModel.get(model);
    if (other === undefined) {
      routeByModel.set(model, object.name);
      continue;
    }
    const message = `the chat route ${other} serves the model ${model} ` +
      "already; use a pool of another model or remove one route";
    faults.push(faultAt(placed, ["pool"], message));
  }
  return faults;
}

function checkPool(
  input: CheckInput,
  placed: PlacedObject,
  pool: Pool,
): ConfigFault[] {
  if (pool.model !== undefined && pool.service !== undefined) {
    const message = "a pool serves either a model or a service; remove one";
    return [faultAt(placed, ["service"], message)];
  }
  if (pool.model !== undefined) {
    return checkReference(input, placed, ["model"], "model", pool.model);
  }
  if (pool.service !== undefined) {
    return checkReference(input, placed, ["service"], "service", pool.service);
  }
  const message = "name the model or the service that the pool serves";
  return [faultAt(placed, ["model"], message)];
}

function checkRoute(
  input: CheckInput,
  placed: PlacedObject,
  route: Route,
): ConfigFault[] {
  const faults = [
    ...checkReference(input, placed, ["pool"], "pool", route.pool),
    ...checkProtocol(input, placed, route),
  ];
  route.teams.forEach((team, index) => {
    faults.push(
      ...checkReference(input, placed, ["teams", index], "team", team),
    );
  });
  if (route.fallback === undefined) return faults;
  const path = ["fallback"];
  faults.push(...checkReference(input, placed, path, "route", route.fallback));
  return faults;
}

function checkProtocol(
  input: CheckInput,
  placed: PlacedObject,
  route: Route,
): ConfigFault[] {
  const pool = input.set.pools.get(route.pool);
  if (!pool) return [];
  if (route.protocol === "chat" && pool.model === undefined) {
    const message =
      `a chat route needs a pool with a model, and ${pool.name} has none; ` +
      "use another pool or the protocol service";
    return [faultAt(placed, ["pool"], message)];
  }
  if (route.protocol === "service" && pool.service === undefined) {
    const message =
      `a service route needs a pool with a service, and ${pool.name} has ` +
      "none; use another pool or the protocol chat";
    return [faultAt(placed, ["pool"], message)];
  }
  return [];
}

function checkReference(
  input: CheckInput,
  placed: PlacedObject,
  path: readonly PropertyKey[],
  kind: ObjectKind,
  name: string,
): ConfigFault[] {
  const names: ReadonlyMap<string, unknown> = input.set[`${kind}s`];
  if (names.has(name) || input.brokenKeys.has(`${kind}/${name}`)) return [];
  const message = `there is no ${kind} named ${name}; add it or name another`;
  return [faultAt(placed, path, message)];
}
