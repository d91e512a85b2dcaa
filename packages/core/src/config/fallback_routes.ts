import type { ObjectSet, Route } from "../objects/index.ts";
import {
  type CheckInput,
  createErrorAt,
  type LocatedObject,
} from "./check_input.ts";
import type { ConfigValidationError } from "./config_validation_error.ts";

/**
 * Lists a route and its fallbacks in the order in which their pools are used.
 * The set must be validated first, because a cycle would never end.
 */
export function listFallbackRoutes(set: ObjectSet, route: Route): Route[] {
  const routes = [route];
  let next = findFallback(set, route);
  while (next) {
    routes.push(next);
    next = findFallback(set, next);
  }
  return routes;
}

/** Finds routes whose chain of fallbacks returns to the route itself. */
export function checkFallbackCycles(
  input: CheckInput,
): ConfigValidationError[] {
  return input.located.flatMap((located) => {
    if (located.object.kind !== "route") return [];
    const cycle = findCycle(input.set, located.object);
    return cycle ? [createCycleError(located, cycle)] : [];
  });
}

function createCycleError(
  located: LocatedObject,
  cycle: readonly string[],
): ConfigValidationError {
  const message = `the fallbacks form a cycle (${cycle.join(" -> ")}); ` +
    "remove the fallback of one of these routes";
  return createErrorAt(located, ["fallback"], message);
}

/** The route names on the cycle through `route`; undefined without a cycle. */
function findCycle(set: ObjectSet, route: Route): string[] | undefined {
  const names = [route.name];
  const visited = new Set(names);
  let next = findFallback(set, route);
  while (next) {
    names.push(next.name);
    if (next.name === route.name) return names;
    if (visited.has(next.name)) return undefined;
    visited.add(next.name);
    next = findFallback(set, next);
  }
  return undefined;
}

function findFallback(set: ObjectSet, route: Route): Route | undefined {
  if (route.fallback === undefined) return undefined;
  return set.routes.get(route.fallback);
}
