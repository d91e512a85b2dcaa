import {
  SlotLine,
  type SlotRequest,
  type TimerService,
} from "@coltsfootford/core";
import type {
  Capacity,
  EndedSlots,
  SlotAsk,
  SlotReply,
} from "./slot_messages.ts";

/**
 * How often waits that are over are ended. Shorter than the executions of a
 * contended service, which take tens of ms.
 */
const EXPIRY_PERIOD_MS = 10;
/**
 * Time after which a wait ends that its daemon no longer asks for. Daemons ask
 * again every 100 ms, and a lost response delays that by 250 ms.
 */
const ABANDONED_MS = 500;
/** Time after which the line of a target without requests is removed. */
const IDLE_LINE_MS = 10_000;
/** Limit of the lines; the oldest are evicted first. */
const MAX_LINES = 10_000;

/** The line of one target, and the responses that are held back. */
interface OwnedLine {
  readonly line: SlotLine;
  readonly held: Map<string, (reply: SlotReply) => void>;
  /** Waiting requests, with the time at which they were last asked for. */
  readonly askedAtMs: Map<string, number>;
  /** When the target reported the capacity in use. */
  capacityAtMs: number;
  usedAtMs: number;
}

/** The lines of the targets that this daemon owns. */
export class SlotLines {
  readonly #timer: TimerService;
  readonly #lines = new Map<string, OwnedLine>();
  #isExpiring = false;
  #cancelExpiry: () => void = () => {};

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Requests that wait or execute, by target, for the state dump. */
  describe(): unknown[] {
    return [...this.#lines].map(([target, { line }]) => ({
      target,
      waiting: line.waiting,
      executing: line.executing,
    }));
  }

  get waiting(): number {
    let waiting = 0;
    for (const { line } of this.#lines.values()) waiting += line.waiting;
    return waiting;
  }

  /**
   * Decides on requests. The replies are held back until one of the requests is
   * decided, at most for `holdMs`.
   */
  requestAll(asks: readonly SlotAsk[], holdMs: number): Promise<SlotReply[]> {
    const replies = asks.map((ask) => this.request(ask, holdMs));
    for (const reply of replies) {
      void reply.then(({ kind }) => {
        if (kind !== "wait") this.#stopHolding(asks);
      });
    }
    return Promise.all(replies);
  }

  /**
   * Decides on a request. While it waits, the response is held back until its
   * turn comes, at most for `holdMs`.
   */
  request(ask: SlotAsk, holdMs: number): Promise<SlotReply> {
    const nowMs = this.#timer.nowMs();
    const owned = this.#lineOf(ask.target, ask.slots, nowMs);
    this.#applyCapacity(owned, ask.capacity, nowMs);
    this.#startExpiry();
    const decision = owned.line.request(toSlotRequest(ask, nowMs), nowMs);
    if (owned.line.hasRejections) this.#expire(owned, nowMs);
    if (decision.kind !== "wait") {
      this.#settle(owned, ask.id, decision);
      return Promise.resolve(decision);
    }
    owned.askedAtMs.set(ask.id, nowMs);
    owned.held.get(ask.id)?.({ kind: "wait" });
    if (holdMs === 0) return Promise.resolve({ kind: "wait" });
    return this.#hold(owned, ask.id, holdMs);
  }

  /** Ends waits and executions, and gives their slots to waiting requests. */
  end({ target, released, cancelled, capacity }: EndedSlots): void {
    const owned = this.#lines.get(target);
    if (!owned) return;
    const nowMs = this.#timer.nowMs();
    this.#applyCapacity(owned, capacity, nowMs);
    for (const id of cancelled) {
      owned.line.cancel(id);
      this.#settle(owned, id, { kind: "reject", retryAfterMs: 0 });
    }
    for (const id of released) {
      for (const started of owned.line.release(id, nowMs)) {
        this.#settle(owned, started, { kind: "execute" });
      }
    }
    this.#expire(owned, nowMs);
  }

  /** Stops the timer and ends all held responses. */
  stop(): void {
    this.#cancelExpiry();
    for (const { held } of this.#lines.values()) {
      for (const settle of [...held.values()]) settle({ kind: "wait" });
    }
    this.#lines.clear();
  }

  #lineOf(target: string, slots: number, nowMs: number): OwnedLine {
    const owned = this.#lines.get(target) ?? {
      line: new SlotLine(slots, nowMs),
      held: new Map(),
      askedAtMs: new Map(),
      capacityAtMs: -Infinity,
      usedAtMs: nowMs,
    };
    owned.usedAtMs = nowMs;
    this.#lines.delete(target);
    this.#lines.set(target, owned);
    if (this.#lines.size > MAX_LINES) {
      const oldest = this.#lines.keys().next();
      if (!oldest.done) this.#lines.delete(oldest.value);
    }
    return owned;
  }

  /** The latest report of the target to any daemon applies. */
  #applyCapacity(
    owned: OwnedLine,
    capacity: Capacity | undefined,
    nowMs: number,
  ): void {
    if (!capacity) return;
    const reportedAtMs = nowMs - capacity.ageMs;
    if (reportedAtMs <= owned.capacityAtMs) return;
    owned.capacityAtMs = reportedAtMs;
    owned.line.setCapacity(capacity.slots, capacity.slowdown);
  }

  #hold(owned: OwnedLine, id: string, holdMs: number): Promise<SlotReply> {
    return new Promise((resolve) => {
      const settle = (reply: SlotReply) => {
        cancelTimer();
        if (owned.held.get(id) === settle) owned.held.delete(id);
        resolve(reply);
      };
      const cancelTimer = this.#timer.after(
        holdMs,
        () => settle({ kind: "wait" }),
      );
      owned.held.set(id, settle);
    });
  }

  #stopHolding(asks: readonly SlotAsk[]): void {
    for (const { target, id } of asks) {
      this.#lines.get(target)?.held.get(id)?.({ kind: "wait" });
    }
  }

  #settle(owned: OwnedLine, id: string, reply: SlotReply): void {
    owned.askedAtMs.delete(id);
    owned.held.get(id)?.(reply);
  }

  #startExpiry(): void {
    if (this.#isExpiring) return;
    this.#isExpiring = true;
    this.#cancelExpiry = this.#timer.after(EXPIRY_PERIOD_MS, () => {
      this.#isExpiring = false;
      this.#expireAll();
    });
  }

  #expireAll(): void {
    const nowMs = this.#timer.nowMs();
    for (const [target, owned] of this.#lines) {
      this.#expire(owned, nowMs);
      const { waiting, executing } = owned.line;
      const isIdle = waiting + executing === 0;
      if (!isIdle) owned.usedAtMs = nowMs;
      if (nowMs - owned.usedAtMs > IDLE_LINE_MS) this.#lines.delete(target);
    }
    if (this.#lines.size > 0) this.#startExpiry();
  }

  #expire(owned: OwnedLine, nowMs: number): void {
    for (const [id, askedAtMs] of owned.askedAtMs) {
      if (owned.held.has(id) || nowMs - askedAtMs < ABANDONED_MS) continue;
      owned.askedAtMs.delete(id);
      owned.line.cancel(id);
    }
    const { execute, reject } = owned.line.expire(nowMs);
    for (const id of execute) this.#settle(owned, id, { kind: "execute" });
    for (const { id, retryAfterMs } of reject) {
      this.#settle(owned, id, { kind: "reject", retryAfterMs });
    }
  }
}

function toSlotRequest(ask: SlotAsk, nowMs: number): SlotRequest {
  return {
    id: ask.id,
    rank: ask.rank,
    team: ask.team,
    deadlineAtMs: nowMs + ask.timeLeftMs,
    objectiveAtMs: nowMs + ask.objectiveLeftMs,
    expectedWorkMs: ask.expectedWorkMs,
    mayWaitUntilMs: nowMs + ask.mayWaitMs,
  };
}
