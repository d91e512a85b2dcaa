import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { monotonicMs } from "../truth/index.ts";
import type { Prefix } from "./prompt.ts";

const MAX_RETAINED_EVENTS = 10_000;

/** A published change of the prefix cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: "stored" | "removed";
  readonly prefix_hash: string;
  readonly tokens: number;
}

/** Delay and loss of the events. */
export interface CacheEventOptions {
  /** Time from an event to its publication. */
  readonly delayMs: number;
  /**
   * Share of events that are never published; their sequence numbers are
   * skipped.
   */
  readonly lossRatio: number;
  readonly seed: number;
}

/** The cache events of an engine, published with a delay and with gaps. */
export class CacheEventLog {
  readonly #options: CacheEventOptions;
  readonly #random;
  #events: { readonly event: CacheEvent; readonly visibleAtMs: number }[] = [];
  #seq = 0;

  constructor(options: CacheEventOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
  }

  add(kind: "stored" | "removed", prefix: Prefix): void {
    this.#seq += 1;
    if (uniformFloat64(this.#random) < this.#options.lossRatio) return;
    const event: CacheEvent = {
      seq: this.#seq,
      kind,
      prefix_hash: prefix.hash,
      tokens: prefix.tokens,
    };
    const visibleAtMs = monotonicMs() + this.#options.delayMs;
    this.#events.push({ event, visibleAtMs });
    if (this.#events.length > 2 * MAX_RETAINED_EVENTS) {
      this.#events = this.#events.slice(-MAX_RETAINED_EVENTS);
    }
  }

  /** The published events after `afterSeq`, and the last sequence number. */
  read(afterSeq: number): { seq: number; events: CacheEvent[] } {
    const nowMs = monotonicMs();
    const events = this.#events
      .filter((entry) => entry.visibleAtMs <= nowMs)
      .map((entry) => entry.event)
      .filter((event) => event.seq > afterSeq);
    return { seq: events.at(-1)?.seq ?? afterSeq, events };
  }
}
