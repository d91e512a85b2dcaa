import type { RejectionReason } from "@coltsfootford/core";
import type { TraceRequest } from "../load/index.ts";
import type { FakeDaemon } from "./fake_daemon.ts";

/** Permission to send one request to a target. */
export interface Admission {
  readonly target: string;
  /**
   * Call it immediately before the request is sent. On false, the request must
   * not be sent.
   */
  readonly start: () => boolean;
  /** Call it when the response has ended or the target rejected the request. */
  readonly end: () => void;
}

/** Result of an admission request: an admission, or the reason for none. */
export type GateOutcome = Admission | RejectionReason | "no-keeper" | "timeout";

/** An entry daemon's request for an admission. */
export interface GateRequest {
  readonly daemon: FakeDaemon;
  /** Targets that may receive the request, best first. */
  readonly order: readonly string[];
  readonly request: TraceRequest;
  /** Longest wait for the first target, in gates that support waiting. */
  readonly waitMs: number;
  readonly onOutcome: (outcome: GateOutcome) => void;
}

/** Decides which target may receive a request, with or without a load bound. */
export abstract class AdmissionGate {
  abstract readonly name: string;

  /** Reports the outcome to `request.onOutcome`, synchronously or later. */
  abstract requestAdmission(request: GateRequest): void;

  /** Bytes of control messages that the daemon has sent and received. */
  abstract controlBytesOf(daemon: string): number;
}

/** A gate that tests the targets in order and decides synchronously. */
export abstract class SequentialGate extends AdmissionGate {
  override requestAdmission(request: GateRequest): void {
    for (const target of request.order) {
      const admission = this.admitToTarget(request, target);
      if (admission) return request.onOutcome(admission);
    }
    request.onOutcome("at-limit");
  }

  /** Returns undefined if the target must not receive the request. */
  protected abstract admitToTarget(
    request: GateRequest,
    target: string,
  ): Admission | undefined;
}

/** Creates an admission that can always start and whose end calls `end`. */
export function createAdmission(
  target: string,
  end: () => void = () => undefined,
): Admission {
  return { target, start: () => true, end };
}
