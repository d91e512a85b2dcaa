import {
  createObjectSet,
  type ObjectSet,
  type TargetOwner,
} from "@coltsfootford/core";
import type { Vm } from "@coltsfootford/key-value";
import { Field } from "./field.ts";

/** The active configuration of this daemon. */
export interface ConfigView {
  /** Zero until a first configuration is active. */
  readonly revision: number;
  /** The nonce of the publication; empty until a first configuration. */
  readonly nonce: string;
  readonly objects: ObjectSet;
}

/** A target in this daemon's view. No guarantee depends on this view. */
export interface TargetView {
  readonly name: string;
  readonly availabilityZone: string;
  readonly pool: string;
  readonly host: string;
  readonly port: number;
  readonly state: "live" | "leaving" | "suspect" | "dead";
}

/** Another daemon, or this one, in this daemon's view. */
export interface DaemonView {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly peerPort: number;
  readonly state: "live" | "leaving" | "suspect" | "dead";
}

/** A target's response to the last probe of its load. */
export interface LoadReport {
  readonly target: string;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly runningTokens: number;
  /** When the response arrived, on this daemon's monotonic clock. */
  readonly receivedAtMs: number;
}

/** The phase of the daemon between start and exit. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "stopped";

/** The state that the controllers of one daemon share. */
export interface Blackboard {
  readonly config: Field<ConfigView>;
  /** Targets by name. */
  readonly targets: Field<ReadonlyMap<string, TargetView>>;
  /** Daemons by VM name, this one included. */
  readonly daemons: Field<ReadonlyMap<string, DaemonView>>;
  /** The platform's list of VMs as last read; undefined until then. */
  readonly vmList: Field<readonly Vm[] | undefined>;
  /** Owners of targets, by name of the target. */
  readonly owners: Field<ReadonlyMap<string, TargetOwner>>;
  /** The daemons that probe the load of targets, by name of the target. */
  readonly probers: Field<ReadonlyMap<string, TargetOwner>>;
  /** Reports of the targets that this daemon probes or owns, by name. */
  readonly loadReports: Field<ReadonlyMap<string, LoadReport>>;
  /** Loads that owners last reported, by name of the target; may be outdated. */
  readonly targetLoads: Field<ReadonlyMap<string, number>>;
  readonly lifecycle: Field<LifecyclePhase>;
}

/** Creates an empty blackboard. */
export function createBlackboard(): Blackboard {
  return {
    config: new Field<ConfigView>("config", {
      revision: 0,
      nonce: "",
      objects: createObjectSet([]),
    }),
    targets: new Field<ReadonlyMap<string, TargetView>>("targets", new Map()),
    daemons: new Field<ReadonlyMap<string, DaemonView>>("daemons", new Map()),
    vmList: new Field<readonly Vm[] | undefined>("vmList", undefined),
    owners: new Field<ReadonlyMap<string, TargetOwner>>("keepers", new Map()),
    probers: new Field<ReadonlyMap<string, TargetOwner>>("probers", new Map()),
    loadReports: new Field<ReadonlyMap<string, LoadReport>>(
      "loadReports",
      new Map(),
    ),
    targetLoads: new Field<ReadonlyMap<string, number>>(
      "targetLoads",
      new Map(),
    ),
    lifecycle: new Field<LifecyclePhase>("lifecycle", "starting"),
  };
}
