import type { ObjectKind, Pool, Route } from "../objects/index.ts";
import {
  type CheckInput,
  createErrorAt,
  type LocatedObject,
} from "./check_input.ts";
import type { ConfigValidationError } from "./config_validation_error.ts";

/**
 * Finds references to missing objects and to pools that do not match the
 * protocol.
 */
export function checkReferences(input: CheckInput): ConfigValidationError[] {
  const errors = input.located.flatMap((located) => {
    if (located.object.kind === "pool") {
      return checkPool(input, located, located.object);
    }
    if (located.object.kind === "route") {
      return checkRoute(input, located, located.object);
    }
    return [];
  });
  return [...errors, ...checkSharedModels(input)];
}

/**
 * A chat request selects its route by model, so a model may have one chat route
 * only.
 */
function checkSharedModels(input: CheckInput): ConfigValidationError[] {
  const errors: ConfigValidationError[] = [];
  const routeByModel = new Map<string, string>();
  for (const located of input.located) {
    const { object } = located;
    if (object.kind !== "route" || object.protocol !== "chat") continue;
    const model = input.set.pools.get(object.pool)?.model;
    if (model === undefined) continue;
    const otherRoute = routeByModel.get(model);
    if (otherRoute === undefined) {
      routeByModel.set(model, object.name);
      continue;
    }
    const message =
      `the chat route ${otherRoute} already serves the model ${model}; ` +
      "use a pool of another model or remove one route";
    errors.push(createErrorAt(located, ["pool"], message));
  }
  return errors;
}

function checkPool(
  input: CheckInput,
  located: LocatedObject,
  pool: Pool,
): ConfigValidationError[] {
  if (pool.model !== undefined && pool.service !== undefined) {
    const message = "a pool serves either a model or a service; remove one";
    return [createErrorAt(located, ["service"], message)];
  }
  if (pool.model !== undefined) {
    return checkReference(input, located, ["model"], "model", pool.model);
  }
  if (pool.service !== undefined) {
    return checkReference(input, located, ["service"], "service", pool.service);
  }
  const message = "name the model or the service that the pool serves";
  return [createErrorAt(located, ["model"], message)];
}

function checkRoute(
  input: CheckInput,
  located: LocatedObject,
  route: Route,
): ConfigValidationError[] {
  const errors = [
    ...checkReference(input, located, ["pool"], "pool", route.pool),
    ...checkProtocol(input, located, route),
  ];
  route.teams.forEach((team, index) => {
    errors.push(
      ...checkReference(input, located, ["teams", index], "team", team),
    );
  });
  if (route.fallback === undefined) return errors;
  const path = ["fallback"];
  errors.push(...checkReference(input, located, path, "route", route.fallback));
  return errors;
}

function checkProtocol(
  input: CheckInput,
  located: LocatedObject,
  route: Route,
): ConfigValidationError[] {
  const pool = input.set.pools.get(route.pool);
  if (!pool) return [];
  if (route.protocol === "chat" && pool.model === undefined) {
    const message =
      `a chat route needs a pool with a model, and ${pool.name} has none; ` +
      "use another pool or the protocol service";
    return [createErrorAt(located, ["pool"], message)];
  }
  if (route.protocol === "service" && pool.service === undefined) {
    const message =
      `a service route needs a pool with a service, and ${pool.name} has ` +
      "none; use another pool or the protocol chat";
    return [createErrorAt(located, ["pool"], message)];
  }
  return [];
}

function checkReference(
  input: CheckInput,
  located: LocatedObject,
  path: readonly PropertyKey[],
  kind: ObjectKind,
  name: string,
): ConfigValidationError[] {
  const names: ReadonlyMap<string, unknown> = input.set[`${kind}s`];
  if (names.has(name) || input.invalidKeys.has(`${kind}/${name}`)) return [];
  const message = `there is no ${kind} named ${name}; add it or name another`;
  return [createErrorAt(located, path, message)];
}
