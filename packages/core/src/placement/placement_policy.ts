import type { PoolView } from "./pool_view.ts";

/** A request as its placement sees it. */
export interface PlacementRequest {
  /** Key of the chat; a returning chat has the key of its earlier turns. */
  readonly chatKey: string;
  /** Zone of the daemon that places the request. */
  readonly availabilityZone: string;
  /** From the route: 1 favours cache reuse alone, 0 even load alone. */
  readonly reuseWeight: number;
  /** From the route: cost of a target of another zone, 0 to 1. */
  readonly crossZonePenalty: number;
  /** Most targets to return. */
  readonly maxTargets: number;
}

/** Targets that are tried before a request waits, unless a caller asks more. */
export const DEFAULT_MAX_TARGETS = 6;

/**
 * Orders the targets of a pool for a request. The first target is asked
 * first; a target that is at its load limit passes the request to the next.
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
