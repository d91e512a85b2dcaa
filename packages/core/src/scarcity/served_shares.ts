import type { SlotRequest } from "./slot_request.ts";

/** A request with the groups that it counts for. */
export interface GroupedRequest {
  readonly request: SlotRequest;
  /** Its team and its kind; the kind is determined at its arrival. */
  readonly groups: readonly string[];
}

/** Outcomes of the requests of one group, with exponential decay. */
interface GroupOutcomes {
  served: number;
  /** Served and rejected requests. */
  decided: number;
  updatedAtMs: number;
}

/** Outcomes older than this hardly count. */
const DECAY_TIME_CONSTANT_MS = 30_000;
/**
 * Share of the requests of a group that is served, of the share of all
 * requests, below which the group goes first. The promise is a quarter; the
 * margin covers the requests that wait meanwhile.
 */
const MIN_RELATIVE_SHARE = 0.35;
/** Limits the memory for teams and kinds; the one not seen longest is dropped. */
const MAX_GROUPS = 512;
/** Limits the memory for rejected requests that may return. */
const MAX_REJECTED_IDS = 1_024;
/** Kinds differ by a factor of 4 in work or in the time of their objective. */
const KIND_FACTOR_LOG = Math.log(4);

/**
 * Finds teams and kinds that are served much less often than all requests. A
 * kind is a rank, with work and time of about the same size. A request that is
 * rejected several times counts once, so that clients gain nothing by repeating
 * it.
 */
export class ServedShares {
  readonly #groups = new Map<string, GroupOutcomes>();
  readonly #all: GroupOutcomes = { served: 0, decided: 0, updatedAtMs: 0 };
  readonly #rejectedIds = new Set<string>();

  recordServed({ request, groups }: GroupedRequest, nowMs: number): void {
    const wasRejected = this.#rejectedIds.delete(request.id);
    for (const group of this.#update(groups, nowMs)) {
      if (!wasRejected) group.decided += 1;
      group.served = Math.min(group.served + 1, group.decided);
    }
  }

  recordRejected({ request, groups }: GroupedRequest, nowMs: number): void {
    if (this.#rejectedIds.has(request.id)) return;
    this.#rejectedIds.add(request.id);
    if (this.#rejectedIds.size > MAX_REJECTED_IDS) {
      deleteOldest(this.#rejectedIds);
    }
    for (const group of this.#update(groups, nowMs)) {
      group.decided += 1;
    }
  }

  /** Whether the team or the kind of the request is hardly served. */
  isBehind({ groups }: GroupedRequest): boolean {
    if (this.#all.decided === 0) return false;
    const minShare = MIN_RELATIVE_SHARE * this.#all.served / this.#all.decided;
    return groups.some((key) => {
      const group = this.#groups.get(key);
      return group !== undefined && group.served < minShare * group.decided;
    });
  }

  #update(keys: readonly string[], nowMs: number): GroupOutcomes[] {
    const groups = keys.map((key) => {
      const group = this.#groups.get(key) ??
        { served: 0, decided: 0, updatedAtMs: nowMs };
      // Reinserts the group, so that the map is in the order of last use.
      this.#groups.delete(key);
      this.#groups.set(key, group);
      return group;
    });
    while (this.#groups.size > MAX_GROUPS) deleteOldest(this.#groups);
    groups.push(this.#all);
    for (const group of groups) decay(group, nowMs);
    return groups;
  }
}

/** Determines the groups of a request that arrives now. */
export function groupRequest(
  request: SlotRequest,
  nowMs: number,
): GroupedRequest {
  const size = sizeClass(request.expectedWorkMs);
  const allowance = sizeClass(request.objectiveAtMs - nowMs);
  const kind = `kind ${request.rank}/${size}/${allowance}`;
  return { request, groups: [`team ${request.team ?? ""}`, kind] };
}

function sizeClass(durationMs: number): number {
  return Math.round(Math.log(Math.max(1, durationMs)) / KIND_FACTOR_LOG);
}

function decay(group: GroupOutcomes, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - group.updatedAtMs);
  const factor = Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
  group.served *= factor;
  group.decided *= factor;
  group.updatedAtMs = nowMs;
}

function deleteOldest(
  entries: Map<string, unknown> | Set<string>,
): void {
  for (const key of entries.keys()) {
    entries.delete(key);
    return;
  }
}
