import { hash32, mixHash32 } from "../hash/index.ts";
import { PlacementPolicy, type PlacementRequest } from "./placement_policy.ts";
import type { PoolView } from "./pool_view.ts";

/** Sends requests to the targets in turn, regardless of the chat. */
export class RoundRobinPolicy extends PlacementPolicy {
  override readonly name = "round-robin";
  #next: number;

  /** Different values of `start` keep the daemons from being in lockstep. */
  constructor(start = 0) {
    super();
    this.#next = start;
  }

  override orderTargets(
    request: PlacementRequest,
    view: PoolView,
  ): readonly string[] {
    const first = this.#next++;
    return listFrom(view, first, request.maxTargets);
  }
}

/** Power of two choices: prefers the less loaded of two random targets. */
export class LeastOfTwoPolicy extends PlacementPolicy {
  override readonly name = "least-of-two";
  readonly #nextIndex: (count: number) => number;

  /** `nextIndex` returns a random integer from 0 to `count - 1`. */
  constructor(nextIndex: (count: number) => number) {
    super();
    this.#nextIndex = nextIndex;
  }

  override orderTargets(
    request: PlacementRequest,
    view: PoolView,
  ): readonly string[] {
    const count = view.targets.length;
    if (count === 0) return [];
    const left = this.#nextIndex(count);
    const right = this.#nextIndex(count);
    const leftLoad = view.loadAt(left);
    const rightLoad = view.loadAt(right);
    const first = leftLoad <= rightLoad ? left : right;
    return listFrom(view, first, request.maxTargets);
  }
}

/** Picks the target by the hash of the chat key modulo the target count. */
export class ModuloPolicy extends PlacementPolicy {
  override readonly name = "plain-hash";

  override orderTargets(
    request: PlacementRequest,
    view: PoolView,
  ): readonly string[] {
    const count = view.targets.length;
    if (count === 0) return [];
    const first = hash32(request.chatKey) % count;
    return listFrom(view, first, request.maxTargets);
  }
}

const VIRTUAL_NODES_PER_TARGET = 64;

/**
 * Consistent hashing with bounded loads: a full target spills along the ring.
 */
export class BoundedRingPolicy extends PlacementPolicy {
  override readonly name = "bounded-ring";
  readonly #rings = new WeakMap<PoolView, Ring>();

  override orderTargets(
    request: PlacementRequest,
    view: PoolView,
  ): readonly string[] {
    let ring = this.#rings.get(view);
    if (!ring) {
      ring = createRing(view);
      this.#rings.set(view, ring);
    }
    return walkRing(ring, view, request);
  }
}

interface Ring {
  readonly points: Uint32Array;
  readonly targetIndexes: Uint32Array;
}

function createRing(view: PoolView): Ring {
  const points: { readonly point: number; readonly index: number }[] = [];
  view.nameHashes.forEach((nameHash, index) => {
    for (let copy = 0; copy < VIRTUAL_NODES_PER_TARGET; copy++) {
      points.push({ point: mixHash32(nameHash, copy + 1), index });
    }
  });
  points.sort((a, b) => a.point - b.point || a.index - b.index);
  return {
    points: Uint32Array.from(points, (entry) => entry.point),
    targetIndexes: Uint32Array.from(points, (entry) => entry.index),
  };
}

function walkRing(
  ring: Ring,
  view: PoolView,
  request: PlacementRequest,
): readonly string[] {
  const wanted = Math.min(request.maxTargets, view.targets.length);
  const found = new Set<number>();
  let position = findPoint(ring.points, hash32(request.chatKey));
  while (found.size < wanted) {
    found.add(ring.targetIndexes[position % ring.points.length]!);
    position += 1;
  }
  return [...found].map((index) => view.targets[index]!.name);
}

/** Index of the first point at or after `hash`, or the length if none. */
function findPoint(points: Uint32Array, hash: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (points[middle]! < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

function listFrom(
  view: PoolView,
  first: number,
  maxTargets: number,
): readonly string[] {
  const count = view.targets.length;
  const names: string[] = [];
  for (let step = 0; step < Math.min(count, maxTargets); step++) {
    names.push(view.targets[(first + step) % count]!.name);
  }
  return names;
}
