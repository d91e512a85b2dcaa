import type { Model, ObjectSet, Route, Team } from "../objects/index.ts";
import {
  type CheckInput,
  createErrorAt,
  type LocatedObject,
} from "./check_input.ts";
import type { ConfigValidationError } from "./config_validation_error.ts";

/** Finds duplicate list entries, shared API keys and contradictory limits. */
export function checkLimits(input: CheckInput): ConfigValidationError[] {
  return [
    ...checkSharedKeys(input.located),
    ...input.located.flatMap((located) => checkObject(input.set, located)),
  ];
}

function checkObject(
  set: ObjectSet,
  located: LocatedObject,
): ConfigValidationError[] {
  const { object } = located;
  if (object.kind === "team") return checkTeam(located, object);
  if (object.kind === "model") return checkModel(located, object);
  if (object.kind === "route") return checkRoute(set, located, object);
  return [];
}

function checkTeam(
  located: LocatedObject,
  team: Team,
): ConfigValidationError[] {
  return checkUniqueEntries(located, "apiKeySha256", team.apiKeySha256);
}

function checkModel(
  located: LocatedObject,
  model: Model,
): ConfigValidationError[] {
  return checkUniqueEntries(located, "adapters", model.adapters);
}

function checkRoute(
  set: ObjectSet,
  located: LocatedObject,
  route: Route,
): ConfigValidationError[] {
  const errors = checkUniqueEntries(located, "teams", route.teams);
  if (route.maxAttempts > 1 && route.retryBudgetRatio === 0) {
    const message =
      `${route.maxAttempts} attempts need a retry budget above 0; ` +
      "raise it or set maxAttempts to 1";
    errors.push(createErrorAt(located, ["retryBudgetRatio"], message));
  }
  const fallback = route.fallback && set.routes.get(route.fallback);
  if (fallback) errors.push(...checkFallback(set, located, route, fallback));
  return errors;
}

/**
 * Checks that a fallback accepts every request of its route and serves the same
 * service. A chat request names its model, so a chat route has no fallback.
 */
function checkFallback(
  set: ObjectSet,
  located: LocatedObject,
  route: Route,
  fallback: Route,
): ConfigValidationError[] {
  if (route.protocol === "chat") {
    const message = "a chat route cannot have a fallback because a request " +
      "names its model; remove this field";
    return [createErrorAt(located, ["fallback"], message)];
  }
  const errors: ConfigValidationError[] = [];
  const service = set.pools.get(route.pool)?.service;
  const fallbackService = set.pools.get(fallback.pool)?.service;
  if (fallbackService !== service) {
    const message = `the fallback ${fallback.name} serves another service; ` +
      `use a route whose pool serves ${service}`;
    errors.push(createErrorAt(located, ["fallback"], message));
  }
  if (fallback.maxBodyBytes < route.maxBodyBytes) {
    const message = `the fallback ${fallback.name} accepts bodies of at most ` +
      `${fallback.maxBodyBytes} bytes; lower this limit or raise that one`;
    errors.push(createErrorAt(located, ["maxBodyBytes"], message));
  }
  if (!admitsAll(route.teams, fallback.teams)) {
    const message = `the fallback ${fallback.name} does not admit all teams ` +
      "of this route; add them there or remove them here";
    errors.push(createErrorAt(located, ["teams"], message));
  }
  return errors;
}

/**
 * Whether `admittedTeams` includes all of `teams`; an empty list means
 * every team.
 */
function admitsAll(teams: readonly string[], admittedTeams: readonly string[]) {
  if (admittedTeams.length === 0) return true;
  if (teams.length === 0) return false;
  return teams.every((team) => admittedTeams.includes(team));
}

function checkUniqueEntries(
  located: LocatedObject,
  field: string,
  values: readonly string[],
): ConfigValidationError[] {
  const errors: ConfigValidationError[] = [];
  values.forEach((value, index) => {
    if (values.indexOf(value) === index) return;
    const message = "this entry is already in the list; remove one";
    errors.push(createErrorAt(located, [field, index], message));
  });
  return errors;
}

/** An API key identifies one team, so no two teams may share a key. */
function checkSharedKeys(
  located: readonly LocatedObject[],
): ConfigValidationError[] {
  const errors: ConfigValidationError[] = [];
  const teamByKey = new Map<string, string>();
  for (const entry of located) {
    const { object } = entry;
    if (object.kind !== "team") continue;
    object.apiKeySha256.forEach((key, index) => {
      const otherTeam = teamByKey.get(key);
      teamByKey.set(key, object.name);
      if (otherTeam === undefined || otherTeam === object.name) return;
      const message = `team ${otherTeam} has the same key; issue another key`;
      errors.push(createErrorAt(entry, ["apiKeySha256", index], message));
    });
  }
  return errors;
}
