/** A daemon that is named in the settings or the VM list. */
export interface DaemonCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly state: "live" | "leaving";
}

/** A target that is named in the VM list. */
export interface TargetCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  readonly state: "live" | "leaving";
}

/** The platform's VM list: only VMs on it can be members. */
export interface FleetList {
  readonly daemons: readonly DaemonCandidate[];
  readonly targets: readonly TargetCandidate[];
}

/**
 * The VMs that can be members: the VMs on the VM list, and the seeds from the
 * settings until the list has named them once.
 */
export class Candidates {
  readonly #seeds: Map<string, DaemonCandidate>;
  #daemons: Map<string, DaemonCandidate>;
  #targets = new Map<string, TargetCandidate>();

  constructor(self: DaemonCandidate, seeds: readonly DaemonCandidate[]) {
    this.#seeds = new Map(seeds.map((seed) => [seed.vm, seed]));
    this.#seeds.set(self.vm, self);
    this.#daemons = new Map(this.#seeds);
  }

  /** Daemons that can be members. */
  get daemons(): ReadonlyMap<string, DaemonCandidate> {
    return this.#daemons;
  }

  /** Targets that can be members. */
  get targets(): ReadonlyMap<string, TargetCandidate> {
    return this.#targets;
  }

  /** Applies a newer VM list and returns the daemons that it removed. */
  apply(list: FleetList, self: string): string[] {
    const daemons = new Map(list.daemons.map((entry) => [entry.vm, entry]));
    for (const vm of daemons.keys()) if (vm !== self) this.#seeds.delete(vm);
    for (const seed of this.#seeds.values()) {
      if (!daemons.has(seed.vm)) daemons.set(seed.vm, seed);
    }
    const removed = [...this.#daemons.keys()].filter((vm) => !daemons.has(vm));
    this.#daemons = daemons;
    this.#targets = new Map(list.targets.map((entry) => [entry.name, entry]));
    return removed;
  }
}
