import { hash32 } from "../hash/index.ts";

/** What a daemon knows of one target when it places a request. */
export interface PlacementTarget {
  readonly name: string;
  readonly availabilityZone: string;
  /** Load by the last report, in requests. It lags and is only a hint. */
  readonly loadRequests: number;
  /** True while a target that keeps flapping is placed last. */
  readonly onProbation: boolean;
}

/**
 * The serving targets of one pool as one daemon knows them, with the hashes
 * of their names. Leaving targets and targets of zones that are cut off are
 * not in it. Create a new view when the set changes, not for every request.
 */
export class PoolView {
  readonly targets: readonly PlacementTarget[];
  /** Hash of the name of the target at the same index. */
  readonly nameHashes: Uint32Array;

  constructor(targets: readonly PlacementTarget[]) {
    this.targets = [...targets].sort((a, b) => a.name < b.name ? -1 : 1);
    this.nameHashes = Uint32Array.from(
      this.targets,
      (target) => hash32(target.name),
    );
  }

  /** Mean of the reported loads, in requests. */
  meanLoadRequests(): number {
    if (this.targets.length === 0) return 0;
    let sumRequests = 0;
    for (const target of this.targets) sumRequests += target.loadRequests;
    return sumRequests / this.targets.length;
  }
}
