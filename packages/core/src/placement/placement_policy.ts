import type { PoolView } from "./pool_view.ts";

/** Properties of a request that placement depends on. */
export interface PlacementRequest {
  /** Affinity key of the chat, the same for all turns of the chat. */
  readonly chatKey: string;
  /** Zone of the daemon that places the request. */
  readonly availabilityZone: string;
  /** From the route: 1 favors only cache reuse, 0 favors only even load. */
  readonly reuseWeight: number;
  /** From the route: penalty of a target in another zone, 0 to 1. */
  readonly crossZonePenalty: number;
  /** Maximum number of targets to return. */
  readonly maxTargets: number;
}

/** Default number of targets to try before a request waits. */
export const DEFAULT_MAX_TARGETS = 6;

/**
 * Orders the targets of a pool for a request. Permit requests start with the
 * first target; the request spills from a target at its load limit to the next.
 */
export abstract class PlacementPolicy {
  abstract readonly name: string;

  /**
   * Returns at most `request.maxTargets` names, best first. A policy without
   * state returns the same order in every daemon that has the same view.
   */
  abstract orderTargets(
    request: PlacementRequest,
    view: PoolView,
  ): readonly string[];
}
