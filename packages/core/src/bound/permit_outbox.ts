import type { PermitExtras } from "./permit_codec.ts";
import type { PoolLoadReport } from "./pool_mean_estimate.ts";

interface PeerOutbox {
  returns: number[];
  reportedAtMs: number;
}

/** Collects the returns and load reports that the next message can carry. */
export class PermitOutbox {
  readonly #reportPeriodMs: number;
  readonly #createReports: (nowMs: number) => readonly PoolLoadReport[];
  readonly #peers = new Map<string, PeerOutbox>();

  /**
   * A message carries a report if the last report to the peer was sent at least
   * `reportPeriodMs` ago.
   */
  constructor(
    reportPeriodMs: number,
    createReports: (nowMs: number) => readonly PoolLoadReport[],
  ) {
    this.#reportPeriodMs = reportPeriodMs;
    this.#createReports = createReports;
  }

  /** Queues the return of a permit to a peer. */
  addReturn(peer: string, permitId: number): void {
    this.#of(peer).returns.push(permitId);
  }

  hasReturns(peer: string): boolean {
    return this.#of(peer).returns.length > 0;
  }

  /** Time since the last report to the peer, in ms; infinite without one. */
  reportAgeMs(peer: string, nowMs: number): number {
    return nowMs - this.#of(peer).reportedAtMs;
  }

  /**
   * Removes and returns the peer's queued returns, with a report if one is due
   * or `mustReport` is set.
   */
  drainExtras(peer: string, nowMs: number, mustReport = false): PermitExtras {
    const outbox = this.#of(peer);
    const { returns } = outbox;
    outbox.returns = [];
    const isDue = mustReport ||
      nowMs - outbox.reportedAtMs >= this.#reportPeriodMs;
    const reports = isDue ? this.#createReports(nowMs) : [];
    if (reports.length > 0) outbox.reportedAtMs = nowMs;
    return { returns, reports };
  }

  /** Drops everything queued for a peer that is gone. */
  drop(peer: string): void {
    this.#peers.delete(peer);
  }

  #of(peer: string): PeerOutbox {
    const known = this.#peers.get(peer);
    if (known) return known;
    const outbox = { returns: [], reportedAtMs: Number.NEGATIVE_INFINITY };
    this.#peers.set(peer, outbox);
    return outbox;
  }
}
