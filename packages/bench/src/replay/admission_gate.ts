import type { RefusalReason } from "@coltsfootford/core";
import type { TraceRequest } from "../load/index.ts";
import type { FakeDaemon } from "./fake_daemon.ts";

/** The right to send one request to a target. */
export interface Admission {
  /** Call it right before the request is sent; false means it must not be. */
  readonly start: () => boolean;
  /** The answer has ended, or the request was not taken. */
  readonly end: () => void;
}

/** A gate's answer: an admission, or why there is none. */
export type GateAnswer = Admission | RefusalReason | "no-keeper" | "timeout";

/** One ask of an entry daemon. */
export interface GateAsk {
  readonly daemon: FakeDaemon;
  readonly target: string;
  readonly request: TraceRequest;
  /** Time that the ask may wait for a place, where the gate can wait. */
  readonly waitMs: number;
  readonly onAnswer: (answer: GateAnswer) => void;
}

/** How requests are admitted to targets under the load bound, or without it. */
export abstract class AdmissionGate {
  abstract readonly name: string;

  /** Answers through `ask.onAnswer`, at once or later. */
  abstract ask(ask: GateAsk): void;

  /** Bytes of control messages that the daemon sent and received so far. */
  abstract controlBytesOf(daemon: string): number;
}
