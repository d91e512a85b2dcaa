import type { TimerService } from "../timer/index.ts";
import {
  DEFAULT_OWNED_TARGETS_OPTIONS,
  type OwnedTargetsOptions,
} from "./owned_targets.ts";
import type { RefusalReason } from "./permit.ts";
import type { PermitMessage } from "./permit_message.ts";

/** Times of the exchange of permits. */
export interface PermitNodeOptions {
  readonly book: OwnedTargetsOptions;
  /** Returns are gathered for this time unless another message goes first. */
  readonly returnBatchMs: number;
  /** Time for an answer, on top of the time that the ask may wait. */
  readonly askTimeoutMs: number;
  /** A report rides on a message if the last one is older. */
  readonly reportPeriodMs: number;
  /** A report is sent alone after this time; 0 never sends one alone. */
  readonly loneReportMs: number;
  /** Wait before a target is taken back that another daemon collected. */
  readonly retakeMs: number;
}

/** Times for zones a few milliseconds apart. */
export const DEFAULT_PERMIT_NODE_OPTIONS: PermitNodeOptions = {
  book: DEFAULT_OWNED_TARGETS_OPTIONS,
  returnBatchMs: 2,
  askTimeoutMs: 300,
  reportPeriodMs: 250,
  loneReportMs: 300,
  retakeMs: 400,
};

/** What a `PermitNode` needs to know of the fleet. */
export interface PermitView {
  /** The daemon that keeps a target, if any is known. */
  ownerOf(target: string): string | undefined;
  /** Daemons that may hold permits, this one included. */
  holders(): readonly string[];
  /** The other daemons that keep targets of the same pools. */
  otherOwners(): readonly string[];
  /** Whether this daemon may act as a keeper now; false after a pause. */
  mayOwn(): boolean;
}

/** What a `PermitNode` is built from. */
export interface PermitNodeParts {
  /** Name of this daemon. */
  readonly name: string;
  readonly timer: TimerService;
  readonly view: PermitView;
  /** Sends a message to another daemon; it may be lost. */
  readonly send: (to: string, message: PermitMessage) => void;
  readonly options?: PermitNodeOptions;
}

/** What an ask may say beside its target. */
export interface PermitRequestOptions {
  /** Time that the ask may wait at the keeper while the target is full. */
  readonly waitMs?: number;
  /** Further targets of the same keeper, in order. */
  readonly alternatives?: readonly string[];
}

/** A usable permit. */
export interface UsablePermit {
  /** The target that was asked for, or one of the alternatives. */
  readonly target: string;
  /** Call it right before the request is sent; false means it must not be. */
  readonly start: () => boolean;
  /** Hands the permit back, used or not. */
  readonly end: () => void;
}

/** What an ask led to. */
export type PermitRequestOutcome =
  | UsablePermit
  | RefusalReason
  | "no-keeper"
  | "timeout";
