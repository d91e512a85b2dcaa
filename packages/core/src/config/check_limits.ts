import type { Model, ObjectSet, Route, Team } from "../objects/index.ts";
import { type CheckInput, faultAt, type PlacedObject } from "./check_input.ts";
import type { ConfigFault } from "./config_fault.ts";

/** Finds lists with repeats, shared keys and limits that contradict. */
export function checkLimits(input: CheckInput): ConfigFault[] {
  return [
    ...checkSharedKeys(input.placed),
    ...input.placed.flatMap((placed) => checkObject(input.set, placed)),
  ];
}

function checkObject(set: ObjectSet, placed: PlacedObject): ConfigFault[] {
  const { object } = placed;
  if (object.kind === "team") return checkTeam(placed, object);
  if (object.kind === "model") return checkModel(placed, object);
  if (object.kind === "route") return checkRoute(set, placed, object);
  return [];
}

function checkTeam(placed: PlacedObject, team: Team): ConfigFault[] {
  return checkRepeats(placed, "apiKeySha256", team.apiKeySha256);
}

function checkModel(placed: PlacedObject, model: Model): ConfigFault[] {
  return checkRepeats(placed, "adapters", model.adapters);
}

function checkRoute(
  set: ObjectSet,
  placed: PlacedObject,
  route: Route,
): ConfigFault[] {
  const faults = checkRepeats(placed, "teams", route.teams);
  if (route.maxAttempts > 1 && route.retryBudgetRatio === 0) {
    const message =
      `${route.maxAttempts} attempts need a retry budget above 0; ` +
      "raise it or set maxAttempts to 1";
    faults.push(faultAt(placed, ["retryBudgetRatio"], message));
  }
  const fallback = route.fallback && set.routes.get(route.fallback);
  if (fallback) faults.push(...checkFallback(set, placed, route, fallback));
  return faults;
}

/**
 * A request that a route takes must be one that its fallback takes, and means
 * the same there. A chat request names its model, so it has no fallback.
 */
function checkFallback(
  set: ObjectSet,
  placed: PlacedObject,
  route: Route,
  fallback: Route,
): ConfigFault[] {
  if (route.protocol === "chat") {
    const message = "a chat route has no fallback, since a request names its " +
      "model; remove this";
    return [faultAt(placed, ["fallback"], message)];
  }
  const faults: ConfigFault[] = [];
  const service = set.pools.get(route.pool)?.service;
  const fallbackService = set.pools.get(fallback.pool)?.service;
  if (fallbackService !== service) {
    const message = `the fallback ${fallback.name} leads to another service; ` +
      `use a route whose pool runs ${service}`;
    faults.push(faultAt(placed, ["fallback"], message));
  }
  if (fallback.maxBodyBytes < route.maxBodyBytes) {
    const message = `the fallback ${fallback.name} takes bodies up to ` +
      `${fallback.maxBodyBytes} bytes only; lower this or raise that`;
    faults.push(faultAt(placed, ["maxBodyBytes"], message));
  }
  if (!isCovered(route.teams, fallback.teams)) {
    const message = `the fallback ${fallback.name} does not admit all teams ` +
      "of this route; add them there or remove them here";
    faults.push(faultAt(placed, ["teams"], message));
  }
  return faults;
}

/** Whether `wider` admits all of `teams`; an empty list admits every team. */
function isCovered(teams: readonly string[], wider: readonly string[]) {
  if (wider.length === 0) return true;
  if (teams.length === 0) return false;
  return teams.every((team) => wider.includes(team));
}

function checkRepeats(
  placed: PlacedObject,
  field: string,
  values: readonly string[],
): ConfigFault[] {
  const faults: ConfigFault[] = [];
  values.forEach((value, index) => {
    if (values.indexOf(value) === index) return;
    const message = "this entry stands in the list already; remove one";
    faults.push(faultAt(placed, [field, index], message));
  });
  return faults;
}

/** A key proves one team; two teams with the same key can't be told apart. */
function checkSharedKeys(placed: readonly PlacedObject[]): ConfigFault[] {
  const faults: ConfigFault[] = [];
  const teamByKey = new Map<string, string>();
  for (const item of placed) {
    const { object } = item;
    if (object.kind !== "team") continue;
    object.apiKeySha256.forEach((key, index) => {
      const other = teamByKey.get(key);
      teamByKey.set(key, object.name);
      if (other === undefined || other === object.name) return;
      const message = `team ${other} has the same key; issue another key`;
      faults.push(faultAt(item, ["apiKeySha256", index], message));
    });
  }
  return faults;
}
