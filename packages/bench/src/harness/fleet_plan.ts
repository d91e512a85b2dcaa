import type { objectSchema } from "@coltsfootford/core";
import type { EngineSettings, ServiceSettings } from "@coltsfootford/standins";
import type { z } from "zod";

/** An object of the configuration as operators write it. */
export type ObjectInput = z.input<typeof objectSchema>;

/** An entry VM. */
export interface DaemonPlan {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** A target VM. */
export interface TargetPlan {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** A pool whose targets are engines. */
export interface EnginePoolPlan {
  readonly kind: "engine";
  readonly pool: string;
  readonly targets: readonly TargetPlan[];
  readonly settings: Partial<EngineSettings>;
}

/** A pool whose targets are plain services. */
export interface ServicePoolPlan {
  readonly kind: "service";
  readonly pool: string;
  readonly targets: readonly TargetPlan[];
  readonly settings: Partial<ServiceSettings>;
}

export type PoolPlan = EnginePoolPlan | ServicePoolPlan;

/** What the harness starts. */
export interface FleetPlan {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly daemons: readonly DaemonPlan[];
  readonly pools: readonly PoolPlan[];
  /** The objects to publish, or the directory of their files. */
  readonly objects: readonly ObjectInput[] | string;
  /**
   * Delay between zones, one way. Undefined leaves the links out, so that
   * zones cannot be cut off and no byte passes through the harness.
   */
  readonly zoneDelayMs?: number;
  /** Lag of the VM list. */
  readonly vmListLagMs?: number;
  /** Further settings of every daemon, over those of the harness. */
  readonly daemonSettings?: Readonly<Record<string, unknown>>;
}

/** Spreads VMs over zones in turn and names them `PREFIX-N`. */
export function spreadOverZones(
  prefix: string,
  count: number,
  availabilityZones: readonly string[],
): TargetPlan[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${prefix}-${index + 1}`,
    availabilityZone: availabilityZones[
      index % availabilityZones.length
    ] as string,
  }));
}
