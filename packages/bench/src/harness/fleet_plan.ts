import type { objectSchema } from "@coltsfootford/core";
import type { EngineSettings, ServiceSettings } from "@coltsfootford/standins";
import type { z } from "zod";

/** A configuration object in the form that operators write. */
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

/** A pool whose targets are model engines. */
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

/** The daemons, targets and platform that the harness starts. */
export interface FleetPlan {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly daemons: readonly DaemonPlan[];
  readonly pools: readonly PoolPlan[];
  /** The objects to publish, or the directory of their files. */
  readonly objects: readonly ObjectInput[] | string;
  /**
   * One-way delay between zones. If undefined, the fleet has no links: zones
   * cannot be partitioned and no traffic passes through the harness.
   */
  readonly zoneDelayMs?: number;
  /** Propagation delay of the VM list. */
  readonly vmListLagMs?: number;
  /** Settings of every daemon; they override those of the harness. */
  readonly daemonSettings?: Readonly<Record<string, unknown>>;
}

/** Assigns VMs to zones round-robin and names them `PREFIX-N`. */
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
