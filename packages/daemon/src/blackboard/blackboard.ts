import { createObjectSet, type ObjectSet } from "@coltsfootford/core";
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

/** How far the daemon has come on its way from start to exit. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "stopped";

/** All that the controllers of one daemon share. */
export interface Blackboard {
  readonly config: Field<ConfigView>;
  /** Targets by name. */
  readonly targets: Field<ReadonlyMap<string, TargetView>>;
  /** Daemons by VM name, this one included. */
  readonly daemons: Field<ReadonlyMap<string, DaemonView>>;
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
    lifecycle: new Field<LifecyclePhase>("lifecycle", "starting"),
  };
}
