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
  /** Silence after which another zone counts as cut off. */
  readonly zoneSilentMs: number;
  /** A longer gap between two ticks means that this process was paused. */
  readonly pauseLimitMs: number;
  /** Longest wait for a word of the zone after a pause. */
  readonly rejoinWaitMs: number;
  /** Time between two tries to reach a daemon that is not live. */
  readonly reachOutMs: number;
  /** Shortest time between two pulls of the same zone's records. */
  readonly pullMs: number;
  /** Digests that must differ in a row before the records are pulled. */
  readonly digestMismatchCount: number;
  /** Shortest time between two sends of own changed attachments. */
  readonly attachMs: number;
  /** Bytes a second that attachments of the whole fleet may cost a daemon. */
  readonly attachBudgetBytesPerSecond: number;
  /** Time between repeats of unchanged attachments, for one fleet slice. */
  readonly attachRefreshMs: number;
}

/** The options that the daemons run with. */
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
  reachOutMs: 5000,
  pullMs: 5000,
  digestMismatchCount: 4,
  attachMs: 225,
  attachBudgetBytesPerSecond: 2000,
  attachRefreshMs: 10_000,
};

/** What a `Membership` is built from. */
export interface MembershipParts {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Higher than that of any earlier run of this VM. */
  readonly incarnation: number;
  readonly seeds: readonly DaemonCandidate[];
  readonly options?: Partial<MembershipOptions>;
}
