import {
  listFallbackRoutes,
  type ObjectSet,
  type Pool,
  type Route,
  type Team,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import { createRequestError, type RequestError } from "./request_error.ts";

/** Largest chat body that is read even if each chat route accepts less. */
const MIN_CHAT_BODY_BYTES = 64 * 1024;

/** A route and its pool. */
export interface RoutePair {
  readonly route: Route;
  readonly pool: Pool;
}

/** Finds the chat route for a model named as `model` or `model:adapter`. */
export function findChatRoute(
  objects: ObjectSet,
  requestedModel: string,
): Result<RoutePair, RequestError> {
  const [modelName = "", adapter] = requestedModel.split(":");
  const model = objects.models.get(modelName);
  if (!model) return err(createModelError(requestedModel));
  if (adapter !== undefined && !model.adapters.includes(adapter)) {
    return err(createModelError(requestedModel));
  }
  for (const route of objects.routes.values()) {
    if (route.protocol !== "chat") continue;
    const pool = objects.pools.get(route.pool);
    if (pool?.model === modelName) return ok({ route, pool });
  }
  return err(createModelError(requestedModel));
}

/** The largest body that any chat route accepts; the body names its route. */
export function findLargestChatBody({ routes }: ObjectSet): number {
  let largestBytes = MIN_CHAT_BODY_BYTES;
  for (const { protocol, maxBodyBytes } of routes.values()) {
    if (protocol === "chat") {
      largestBytes = Math.max(largestBytes, maxBodyBytes);
    }
  }
  return largestBytes;
}

/** Finds a service route by its name. */
export function findServiceRoute(
  objects: ObjectSet,
  name: string,
): Result<RoutePair, RequestError> {
  const route = objects.routes.get(name);
  const pool = route && objects.pools.get(route.pool);
  if (!route || !pool || route.protocol !== "service") {
    const message = `route ${name} is not known; use a published service route`;
    return err(
      createRequestError(404, "unknown_route", message, { param: "path" }),
    );
  }
  return ok({ route, pool });
}

/**
 * The pool that currently serves a route: its own pool, or the first fallback
 * with a live target while its own pool has none. The settings of the requested
 * route still apply.
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
  const servingRoute = listFallbackRoutes(objects, route)
    .find((candidate) => livePools.has(candidate.pool));
  return servingRoute ? objects.pools.get(servingRoute.pool) ?? pool : pool;
}

/** Rejects a team that is not on the route's list; an empty list allows all. */
export function checkRouteTeam(
  route: Route,
  team: Team,
): Result<void, RequestError> {
  if (route.teams.length === 0) return ok(undefined);
  if (route.teams.includes(team.name)) return ok(undefined);
  const message =
    `team ${team.name} may not use route ${route.name}; ask the operators to list it`;
  return err(createRequestError(403, "team_not_allowed", message));
}

function createModelError(requestedModel: string): RequestError {
  const message =
    `model ${requestedModel} is not served; use a published model`;
  return createRequestError(404, "model_not_found", message, {
    param: "model",
  });
}
