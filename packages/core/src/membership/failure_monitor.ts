import type { DaemonRecord } from "./member_table.ts";
import { HEALTH, type Health } from "./wire.ts";

interface Watch {
  silentSinceMs: number;
  /** When this daemon raised the suspicion, and of which incarnation. */
  suspectedAtMs: number | undefined;
  incarnation: number;
}

/** What the monitor concludes of a daemon. */
export interface Verdict {
  readonly record: DaemonRecord;
  readonly health: Health;
}

/**
 * Watches the heartbeats of the predecessors in the ring. Silence raises a
 * suspicion; only a suspicion that stays unrefuted for its period, with the
 * daemon still silent, becomes a death.
 */
export class FailureMonitor {
  readonly #suspectAfterMs: number;
  readonly #suspicionMs: number;
  #watches = new Map<string, Watch>();

  constructor(suspectAfterMs: number, suspicionMs: number) {
    this.#suspectAfterMs = suspectAfterMs;
    this.#suspicionMs = suspicionMs;
  }

  /** Notes a message that came from `vm` itself. */
  heard(vm: string, nowMs: number): void {
    const watch = this.#watches.get(vm);
    if (!watch) return;
    watch.silentSinceMs = nowMs;
    watch.suspectedAtMs = undefined;
  }

  /** A closed connection is as much a hint as a silence of full length. */
  connectionClosed(vm: string, nowMs: number): void {
    const watch = this.#watches.get(vm);
    if (!watch) return;
    const since = nowMs - this.#suspectAfterMs;
    watch.silentSinceMs = Math.min(watch.silentSinceMs, since);
  }

  /** Forgets all silence, as after a pause of this process. */
  reset(): void {
    this.#watches.clear();
  }

  /** Judges the daemons that this one has to watch now. */
  judge(watched: readonly DaemonRecord[], nowMs: number): Verdict[] {
    const verdicts: Verdict[] = [];
    const watches = new Map<string, Watch>();
    for (const record of watched) {
      const watch = this.#watches.get(record.vm) ?? startWatch(record, nowMs);
      watches.set(record.vm, watch);
      const health = this.#judgeOne(record, watch, nowMs);
      if (health > record.health) verdicts.push({ record, health });
    }
    this.#watches = watches;
    return verdicts;
  }

  #judgeOne(record: DaemonRecord, watch: Watch, nowMs: number): Health {
    if (record.incarnation !== watch.incarnation) {
      // A higher incarnation is word from the daemon itself, by way of others.
      Object.assign(watch, startWatch(record, nowMs));
    }
    if (nowMs - watch.silentSinceMs < this.#suspectAfterMs) return HEALTH.live;
    watch.suspectedAtMs ??= nowMs;
    const isPeriodOver = nowMs - watch.suspectedAtMs >= this.#suspicionMs;
    return isPeriodOver ? HEALTH.dead : HEALTH.suspect;
  }
}

function startWatch(record: DaemonRecord, nowMs: number): Watch {
  return {
    silentSinceMs: nowMs,
    suspectedAtMs: undefined,
    incarnation: record.incarnation,
  };
}
