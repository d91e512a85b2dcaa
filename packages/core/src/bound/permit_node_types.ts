import type { TimerService } from "../timer/index.ts";
import {
  DEFAULT_OWNED_TARGETS_OPTIONS,
  type OwnedTargetsOptions,
} from "./owned_targets.ts";
import type { RejectionReason } from "./permit.ts";
import type { PermitMessage } from "./permit_message.ts";

/** Options of a `PermitNode`. */
export interface PermitNodeOptions {
  readonly ownedTargets: OwnedTargetsOptions;
  /** Time for which returns are batched unless another message is sent. */
  readonly returnBatchMs: number;
  /** Timeout of a permit request, in addition to its queueing time. */
  readonly requestTimeoutMs: number;
  /** A message carries a load report if the last report is older than this. */
  readonly reportPeriodMs: number;
  /** Time after which a report is sent in its own message; 0 for never. */
  readonly standaloneReportMs: number;
  /** Delay before taking back a target that another daemon collected. */
  readonly retakeMs: number;
}

/** Options for zones a few milliseconds apart. */
export const DEFAULT_PERMIT_NODE_OPTIONS: PermitNodeOptions = {
  ownedTargets: DEFAULT_OWNED_TARGETS_OPTIONS,
  returnBatchMs: 2,
  requestTimeoutMs: 300,
  reportPeriodMs: 250,
  standaloneReportMs: 300,
  retakeMs: 400,
};

/** The fleet in a daemon's view, as a `PermitNode` needs it. */
export interface PermitView {
  /** The daemon that owns a target, if any is known. */
  ownerOf(target: string): string | undefined;
  /** Daemons that may hold permits, this one included. */
  holders(): readonly string[];
  /** The other daemons that own targets of the same pools. */
  otherOwners(): readonly string[];
  /** Whether this daemon may act as an owner now; false after a pause. */
  mayOwn(): boolean;
}

/** Dependencies of a `PermitNode`. */
export interface PermitNodeDependencies {
  /** Name of this daemon. */
  readonly name: string;
  readonly timer: TimerService;
  readonly view: PermitView;
  /** Sends a message to another daemon. The message may be lost. */
  readonly send: (to: string, message: PermitMessage) => void;
  readonly options?: PermitNodeOptions;
}

/** Options of a permit request beside its target. */
export interface PermitRequestOptions {
  /** Time that the request may queue at the owner while the target is full. */
  readonly waitMs?: number;
  /** Further targets of the same owner, in order of preference. */
  readonly alternatives?: readonly string[];
}

/** A usable permit. */
export interface UsablePermit {
  /** The requested target or one of the alternatives. */
  readonly target: string;
  /** Call it right before sending the request; on false, don't send it. */
  readonly start: () => boolean;
  /** Returns the permit, used or not. */
  readonly end: () => void;
}

/** Outcome of a permit request. */
export type PermitRequestOutcome =
  | UsablePermit
  | RejectionReason
  | "no-keeper"
  | "timeout";
