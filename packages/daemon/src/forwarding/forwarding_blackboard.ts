import type { RegisteredTarget, RouteTable } from "@coltsfootford/core";
import { Field, type LifecyclePhase } from "../blackboard/index.ts";
import type { ForwardingLimits, ForwardingSettings } from "./settings.ts";

/** Another daemon of the fleet. */
export interface PeerDaemon {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  /** Undefined where the daemon has not stated it. */
  readonly availabilityZone?: string | undefined;
}

/** The state of this daemon's connection to the store. */
export interface StoreContact {
  /** When the store last responded, on the monotonic clock. */
  readonly heardAtMs: number;
  readonly isReachable: boolean;
}

/** State that the controllers of the forwarding path share. */
export interface ForwardingBlackboard {
  /** The active routes; undefined until a first configuration is received. */
  readonly routes: Field<RouteTable | undefined>;
  /** The targets that may receive requests; undefined until the first update. */
  readonly targets: Field<readonly RegisteredTarget[] | undefined>;
  /** Zones whose targets receive no requests, by an operator's order. */
  readonly evacuatedZones: Field<ReadonlySet<string>>;
  readonly peers: Field<readonly PeerDaemon[]>;
  readonly storeContact: Field<StoreContact>;
  /**
   * Until when the knowledge of the store is known to be current, from the store
   * or a relay, on the monotonic clock.
   */
  readonly knowledgeAsOfMs: Field<number>;
  /** When a peer last reported that it reaches the store, monotonic clock. */
  readonly peerContactAtMs: Field<number>;
  readonly lifecycle: Field<LifecyclePhase>;
  /** Settings that may change while the daemon runs. */
  readonly limits: Field<ForwardingLimits>;
  /** Digests of requests that crash targets and are rejected. */
  readonly quarantine: Field<ReadonlySet<string>>;
  /** Prompt parts that crash targets; requests with all of them are rejected. */
  readonly quarantinedParts: Field<readonly (readonly string[])[]>;
}

/** Creates an empty blackboard. */
export function createForwardingBlackboard(
  limits: ForwardingLimits,
): ForwardingBlackboard {
  return {
    routes: new Field<RouteTable | undefined>("routes", undefined),
    targets: new Field<readonly RegisteredTarget[] | undefined>(
      "targets",
      undefined,
    ),
    evacuatedZones: new Field<ReadonlySet<string>>(
      "evacuatedZones",
      new Set(),
    ),
    peers: new Field<readonly PeerDaemon[]>("peers", []),
    storeContact: new Field<StoreContact>("storeContact", {
      heardAtMs: 0,
      isReachable: false,
    }),
    knowledgeAsOfMs: new Field<number>("knowledgeAsOfMs", -Infinity),
    peerContactAtMs: new Field<number>("peerContactAtMs", -Infinity),
    lifecycle: new Field<LifecyclePhase>("lifecycle", "starting"),
    limits: new Field<ForwardingLimits>("limits", limits),
    quarantine: new Field<ReadonlySet<string>>("quarantine", new Set()),
    quarantinedParts: new Field<readonly (readonly string[])[]>(
      "quarantinedParts",
      [],
    ),
  };
}

/** Whether the daemon can serve requests: it has routes and targets. */
export function isReady(blackboard: ForwardingBlackboard): boolean {
  return blackboard.lifecycle.read() === "serving" &&
    blackboard.routes.read() !== undefined &&
    blackboard.targets.read() !== undefined;
}

/** A daemon as its peers know it. */
export function describeSelf(
  { vm, listen, availabilityZone }: ForwardingSettings,
): PeerDaemon {
  const { host, port } = listen.peers ?? listen.readiness;
  return { name: vm, host, port, availabilityZone };
}
