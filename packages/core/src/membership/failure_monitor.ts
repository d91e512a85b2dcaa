import type { DaemonRecord } from "./member_table.ts";
import { HEALTH, type Health } from "./wire.ts";

interface Watch {
  silentSinceMs: number;
  /** When this daemon raised the suspicion; undefined without one. */
  suspectedAtMs: number | undefined;
  /** The incarnation that is watched. */
  incarnation: number;
}

/** A daemon whose health got worse. */
export interface HealthChange {
  readonly record: DaemonRecord;
  readonly health: Health;
}

/**
 * Monitors the heartbeats of the predecessors in the ring. A silent daemon is
 * suspected. It counts as dead only if it stays silent and doesn't refute the
 * suspicion within the suspicion period.
 */
export class FailureMonitor {
  readonly #suspectAfterMs: number;
  readonly #suspicionMs: number;
  #watches = new Map<string, Watch>();

  constructor(suspectAfterMs: number, suspicionMs: number) {
    this.#suspectAfterMs = suspectAfterMs;
    this.#suspicionMs = suspicionMs;
  }

  /** Records a message that was sent by `vm` itself. */
  recordMessage(vm: string, nowMs: number): void {
    const watch = this.#watches.get(vm);
    if (!watch) return;
    watch.silentSinceMs = nowMs;
    watch.suspectedAtMs = undefined;
  }

  /** Treats a closed connection like a silence of `suspectAfterMs`. */
  connectionClosed(vm: string, nowMs: number): void {
    const watch = this.#watches.get(vm);
    if (!watch) return;
    const silentSinceMs = nowMs - this.#suspectAfterMs;
    watch.silentSinceMs = Math.min(watch.silentSinceMs, silentSinceMs);
  }

  /** Clears all measured silence, for example after a pause of this process. */
  reset(): void {
    this.#watches.clear();
  }

  /** Returns which of the watched daemons got worse in health. */
  evaluate(watched: readonly DaemonRecord[], nowMs: number): HealthChange[] {
    const changes: HealthChange[] = [];
    const watches = new Map<string, Watch>();
    for (const record of watched) {
      const watch = this.#watches.get(record.vm) ?? startWatch(record, nowMs);
      watches.set(record.vm, watch);
      const health = this.#evaluateOne(record, watch, nowMs);
      if (health > record.health) changes.push({ record, health });
    }
    this.#watches = watches;
    return changes;
  }

  #evaluateOne(record: DaemonRecord, watch: Watch, nowMs: number): Health {
    if (record.incarnation !== watch.incarnation) {
      // Only the daemon itself raises its incarnation, so a higher one is a sign
      // of life, even if others relayed it.
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
