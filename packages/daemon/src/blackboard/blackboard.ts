import {
  createObjectSet,
  type ObjectSet,
  type TargetOwner,
} from "@coltsfootford/core";
import type { Vm } from "@coltsfootford/key-value";
import { Field } from "./field.ts";

/** The configuration in force in this daemon. */
export interface ConfigView {
  /** Zero until a first configuration is in force. */
  readonly revision: number;
  /** The publisher's mark of the set; empty until the first. */
  readonly nonce: string;
  readonly objects: ObjectSet;
}

/** A target as this daemon sees it. The view never carries a promise. */
export interface TargetView {
  readonly name: string;
  readonly availabilityZone: string;
  readonly pool: string;
  readonly host: string;
  readonly port: number;
  readonly state: "live" | "leaving" | "suspect" | "dead";
}

/** Another daemon, or this one, as this daemon sees it. */
export interface DaemonView {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly peerPort: number;
  readonly state: "live" | "leaving" | "suspect" | "dead";
}

/** What a target said of itself when its prober asked last. */
export interface LoadReport {
  readonly target: string;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly runningTokens: number;
  /** When the answer came, on this daemon's monotonic clock. */
  readonly receivedAtMs: number;
}

/** How far the daemon has come on its way from start to exit. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "stopped";

/** All that the controllers of one daemon share. */
export interface Blackboard {
  readonly config: Field<ConfigView>;
  /** Targets by name. */
  readonly targets: Field<ReadonlyMap<string, TargetView>>;
  /** Daemons by VM name, this one included. */
  readonly daemons: Field<ReadonlyMap<string, DaemonView>>;
  /** The platform's list of VMs as it was read last; undefined before. */
  readonly vmList: Field<readonly Vm[] | undefined>;
  /** Keepers by name of the target. */
  readonly owners: Field<ReadonlyMap<string, TargetOwner>>;
  /** The daemons that ask the targets for their load, by name of the target. */
  readonly probers: Field<ReadonlyMap<string, TargetOwner>>;
  /** Reports of the targets that this daemon probes or keeps, by name. */
  readonly loadReports: Field<ReadonlyMap<string, LoadReport>>;
  /** Loads of targets as their keepers told them last: a hint. */
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
