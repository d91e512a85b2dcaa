import type { ObjectSet, Route } from "../objects/index.ts";
import { type CheckInput, faultAt, type PlacedObject } from "./check_input.ts";
import type { ConfigFault } from "./config_fault.ts";

/**
 * A route and its fallbacks, in the order in which their pools are used. The
 * set must be checked: a cycle would not end.
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

/** Finds routes whose fallbacks lead back to themselves. */
export function checkFallbackCycles(input: CheckInput): ConfigFault[] {
  return input.placed.flatMap((placed) => {
    if (placed.object.kind !== "route") return [];
    const cycle = findCycle(input.set, placed.object);
    return cycle ? [createCycleFault(placed, cycle)] : [];
  });
}

function createCycleFault(
  placed: PlacedObject,
  cycle: readonly string[],
): ConfigFault {
  const message = `the fallbacks form a cycle (${cycle.join(" -> ")}); ` +
    "remove the fallback of one of these routes";
  return faultAt(placed, ["fallback"], message);
}

/** The names on the cycle through `route`, or undefined without one. */
function findCycle(set: ObjectSet, route: Route): string[] | undefined {
  const names = [route.name];
  const seen = new Set(names);
  let next = findFallback(set, route);
  while (next) {
    names.push(next.name);
    if (next.name === route.name) return names;
    if (seen.has(next.name)) return undefined;
    seen.add(next.name);
    next = findFallback(set, next);
  }
  return undefined;
}

function findFallback(set: ObjectSet, route: Route): Route | undefined {
  if (route.fallback === undefined) return undefined;
  return set.routes.get(route.fallback);
}
