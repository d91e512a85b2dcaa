/** A daemon that the settings or the VM list name. */
export interface DaemonCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly state: "live" | "leaving";
}

/** A target that the VM list names. */
export interface TargetCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  readonly state: "live" | "leaving";
}

/** The outer bound of the membership, as the platform's VM list gives it. */
export interface FleetList {
  readonly daemons: readonly DaemonCandidate[];
  readonly targets: readonly TargetCandidate[];
}

/**
 * The VMs that may be believed in at all: what the VM list names, and the
 * seeds of the settings until the list named them once.
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

  /** Daemons that may be believed in. */
  get daemons(): ReadonlyMap<string, DaemonCandidate> {
    return this.#daemons;
  }

  /** Targets that may be believed in. */
  get targets(): ReadonlyMap<string, TargetCandidate> {
    return this.#targets;
  }

  /** Puts a newer VM list into force and gives the daemons it removed. */
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
