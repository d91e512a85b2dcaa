import { hash32 } from "../hash/index.ts";

/** A target's state in one daemon's view, as placement uses it. */
export interface PlacementTarget {
  readonly name: string;
  readonly availabilityZone: string;
  /** Load by the last report, in requests; only a hint, as the report lags. */
  readonly loadRequests: number;
  /** Whether the target flapped and is ordered last. */
  readonly onProbation: boolean;
}

/**
 * The serving targets of one pool in one daemon's view, with precomputed hashes
 * of their names. The view excludes leaving targets and targets of unreachable
 * zones. Create a new view when the set of targets changes, not for every
 * request.
 */
export class PoolView {
  readonly targets: readonly PlacementTarget[];
  /** Name hash of the target at the same index. */
  readonly nameHashes: Uint32Array;
  /** Number of the availability zone of the target at the same index. */
  readonly zoneNumbers: Uint16Array;
  /** 1 where the target at the same index is on probation. */
  readonly probationFlags: Uint8Array;
  /** Reported load of the target at the same index, in requests; a hint. */
  readonly #loadsRequests: Float64Array;
  readonly #indexByName = new Map<string, number>();
  #sumLoadRequests = 0;
  readonly #zoneNumberByName = new Map<string, number>();

  constructor(targets: readonly PlacementTarget[]) {
    this.targets = [...targets].sort((a, b) => a.name < b.name ? -1 : 1);
    this.nameHashes = Uint32Array.from(
      this.targets,
      (target) => hash32(target.name),
    );
    this.zoneNumbers = Uint16Array.from(
      this.targets,
      (target) => this.#numberZone(target.availabilityZone),
    );
    this.probationFlags = Uint8Array.from(
      this.targets,
      (target) => target.onProbation ? 1 : 0,
    );
    this.#loadsRequests = new Float64Array(this.targets.length);
    this.targets.forEach((target, index) => {
      this.#indexByName.set(target.name, index);
      this.setLoad(target.name, target.loadRequests);
    });
  }

  /** Updates the reported load of a target. */
  setLoad(target: string, loadRequests: number): void {
    const index = this.#indexByName.get(target);
    if (index === undefined) return;
    this.#sumLoadRequests += loadRequests - this.#loadsRequests[index]!;
    this.#loadsRequests[index] = loadRequests;
  }

  /** Reported load of the target at `index`, in requests. */
  loadAt(index: number): number {
    return this.#loadsRequests[index] ?? 0;
  }

  /** Number of a zone in `zoneNumbers`, or -1 if it has no target here. */
  zoneNumberOf(availabilityZone: string): number {
    return this.#zoneNumberByName.get(availabilityZone) ?? -1;
  }

  /** Mean of the reported loads, in requests. */
  meanLoadRequests(): number {
    if (this.targets.length === 0) return 0;
    return this.#sumLoadRequests / this.targets.length;
  }

  #numberZone(availabilityZone: string): number {
    const known = this.#zoneNumberByName.get(availabilityZone);
    if (known !== undefined) return known;
    const number = this.#zoneNumberByName.size;
    this.#zoneNumberByName.set(availabilityZone, number);
    return number;
  }
}
