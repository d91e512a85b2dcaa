import type { DaemonCandidate } from "./candidates.ts";

/** Times and counts of the membership protocol. */
export interface MembershipOptions {
  /** Time between two calls of `tick`. */
  readonly tickMs: number;
  /** Time between heartbeats to the successors in the own zone. */
  readonly heartbeatMs: number;
  /** Time between heartbeats of a reporter to another zone. */
  readonly zoneHeartbeatMs: number;
  /** Successors in the ring of the own zone that get heartbeats. */
  readonly successorCount: number;
  /** Reporters from one zone to another, and receivers there. */
  readonly reporterCount: number;
  /** Silence after which a predecessor is suspected. */
  readonly suspectAfterMs: number;
  /** Time that a suspected daemon has to refute before it counts as dead. */
  readonly suspicionMs: number;
  /** Silence after which another zone counts as unreachable. */
  readonly zoneSilentMs: number;
  /** A longer gap between two ticks means that this process was paused. */
  readonly pauseLimitMs: number;
  /** Longest wait for a message of the zone after a pause. */
  readonly rejoinWaitMs: number;
  /** Time between two attempts to contact a daemon that is not live. */
  readonly contactMs: number;
  /** Shortest time between two pulls of the same zone's records. */
  readonly pullMs: number;
  /** Digest mismatches in a row before the records are pulled. */
  readonly digestMismatchCount: number;
  /** Shortest time between two sends of own changed attachments. */
  readonly attachMs: number;
  /** Bandwidth per daemon for the attachments of the whole fleet. */
  readonly attachBudgetBytesPerSecond: number;
  /**
   * Time between refreshes of unchanged attachments in a fleet of up to 16
   * daemons; longer in proportion in a larger one.
   */
  readonly attachRefreshMs: number;
}

/** The options that the daemons use by default. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  tickMs: 50,
  heartbeatMs: 500,
  zoneHeartbeatMs: 1000,
  successorCount: 3,
  reporterCount: 2,
  suspectAfterMs: 1500,
  suspicionMs: 1000,
  zoneSilentMs: 3000,
  pauseLimitMs: 1200,
  rejoinWaitMs: 1000,
  contactMs: 5000,
  pullMs: 5000,
  digestMismatchCount: 4,
  attachMs: 225,
  attachBudgetBytesPerSecond: 2000,
  attachRefreshMs: 10_000,
};

/** Constructor dependencies of a `Membership`. */
export interface MembershipDependencies {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Higher than that of any earlier daemon process on this VM. */
  readonly incarnation: number;
  readonly seeds: readonly DaemonCandidate[];
  readonly options?: Partial<MembershipOptions>;
}
