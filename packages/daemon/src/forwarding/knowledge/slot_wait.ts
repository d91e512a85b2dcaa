import type { PeerDaemon } from "../forwarding_blackboard.ts";
import type { SlotAsk, SlotReply } from "./slot_messages.ts";

/** Time by which the owner ends a wait later than the daemon expects. */
const WAIT_SLACK_MS = 100;

/** How a wait for a slot has ended; `alone`: without a decision of the owner. */
export type SlotWaitEnd =
  | { readonly kind: "execute" }
  | { readonly kind: "alone" }
  | { readonly kind: "over" }
  | { readonly kind: "reject"; readonly retryAfterMs: number };

/** What one wait needs of the controller. */
export interface SlotWaitEnvironment {
  readonly nowMs: () => number;
  /** Asks the owner; undefined where it doesn't respond. */
  readonly ask: (
    ask: SlotAsk,
    isFirst: boolean,
  ) => Promise<SlotReply | undefined>;
}

/** The wait of one request for a slot of one target. */
export class SlotWait {
  readonly owner: PeerDaemon;
  readonly ask: SlotAsk;
  readonly startedAtMs: number;
  /** How often the owner was asked. */
  asks = 0;
  isGranted = false;
  hasEnded = false;

  constructor(owner: PeerDaemon, ask: SlotAsk, nowMs: number) {
    this.owner = owner;
    this.ask = ask;
    this.startedAtMs = nowMs;
  }

  /**
   * Asks until the owner decides, no longer responds, or the wait is over. The
   * first ask is answered at once, so that a lost owner is noticed soonest.
   */
  async run(environment: SlotWaitEnvironment): Promise<SlotWaitEnd> {
    const { nowMs, ask } = environment;
    const endMs = this.startedAtMs + Math.max(0, this.ask.mayWaitMs) +
      WAIT_SLACK_MS;
    for (;;) {
      this.asks += 1;
      const reply = await ask(this.#withTimeLeft(nowMs()), this.asks === 1);
      if (!reply) return { kind: "alone" };
      if (reply.kind === "execute") this.isGranted = true;
      if (reply.kind !== "wait") return reply;
      if (this.hasEnded || nowMs() >= endMs) return { kind: "over" };
    }
  }

  #withTimeLeft(nowMs: number): SlotAsk {
    const passedMs = nowMs - this.startedAtMs;
    const { capacity } = this.ask;
    return {
      ...this.ask,
      timeLeftMs: this.ask.timeLeftMs - passedMs,
      objectiveLeftMs: this.ask.objectiveLeftMs - passedMs,
      mayWaitMs: this.ask.mayWaitMs - passedMs,
      capacity: capacity && { ...capacity, ageMs: capacity.ageMs + passedMs },
    };
  }
}
