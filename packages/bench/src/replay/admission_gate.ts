import type { RejectionReason } from "@coltsfootford/core";
import type { TraceRequest } from "../load/index.ts";
import type { FakeDaemon } from "./fake_daemon.ts";

/** The right to send one request to a target. */
export interface Admission {
  readonly target: string;
  /** Call it right before the request is sent; false means it must not be. */
  readonly start: () => boolean;
  /** The answer has ended, or the request was not taken. */
  readonly end: () => void;
}

/** A gate's answer: an admission, or why there is none. */
export type GateAnswer = Admission | RejectionReason | "no-keeper" | "timeout";

/** One ask of an entry daemon. */
export interface GateAsk {
  readonly daemon: FakeDaemon;
  /** Targets that may take the request, best first. */
  readonly order: readonly string[];
  readonly request: TraceRequest;
  /** Time to wait for the first target, where the gate can wait. */
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

/** A gate that decides on one target after the other, at once. */
export abstract class SequentialGate extends AdmissionGate {
  override ask(ask: GateAsk): void {
    for (const target of ask.order) {
      const answer = this.tryTarget(ask, target);
      if (answer) return ask.onAnswer(answer);
    }
    ask.onAnswer("at-limit");
  }

  /** Admits the request to one target, or not. */
  protected abstract tryTarget(
    ask: GateAsk,
    target: string,
  ): Admission | undefined;
}

/** An admission that needs nothing done at its end. */
export function createAdmission(
  target: string,
  end: () => void = () => undefined,
): Admission {
  return { target, start: () => true, end };
}
