import {
  ContendedTargets,
  type ReportedLoad,
  showsContention,
  type SlotDecision,
  SlotLine,
  type SlotRequest,
  type TimerService,
} from "@coltsfootford/core";
import { SLOTS } from "./contended_target.ts";

/** Time of a message between two daemons. */
const MESSAGE_MS = 1;
/** Time in which an announcement reaches all daemons. */
const ANNOUNCE_MS = 5;
/** Time for which the end of an execution waits for others, with its message. */
const END_MS = 4;
const EXPIRY_PERIOD_MS = 10;
const TARGET = "target";

/** A decision that no longer waits. */
export type FinalDecision = Exclude<SlotDecision, { readonly kind: "wait" }>;

/** The line of one target with the delays of the messages to its owner. */
export class ModelledLine {
  asks = 0;
  readonly #timer: TimerService;
  readonly #line: SlotLine;
  readonly #contended = new ContendedTargets();
  readonly #waiting = new Map<string, (decision: FinalDecision) => void>();

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#line = new SlotLine(SLOTS, timer.nowMs());
    timer.every(EXPIRY_PERIOD_MS, () => this.#expire());
  }

  get isContended(): boolean {
    return this.#contended.isContended(TARGET, this.#timer.nowMs());
  }

  onReport(load: ReportedLoad): void {
    if (showsContention(load)) {
      this.#timer.after(
        ANNOUNCE_MS,
        () => this.#contended.recordAnnounced(TARGET, this.#timer.nowMs()),
      );
    }
    const { slots, slowdown = 1 } = load;
    this.#timer.after(END_MS, () => this.#line.setCapacity(slots, slowdown));
  }

  request(
    request: SlotRequest,
    onDecided: (decision: FinalDecision) => void,
  ): void {
    this.asks += 1;
    this.#timer.after(MESSAGE_MS, () => {
      const decision = this.#line.request(request, this.#timer.nowMs());
      this.#waiting.set(request.id, onDecided);
      if (decision.kind !== "wait") this.#decide(request.id, decision);
      if (this.#line.hasRejections) this.#expire();
    });
  }

  release(id: string): void {
    this.#timer.after(END_MS, () => {
      for (const started of this.#line.release(id, this.#timer.nowMs())) {
        this.#decide(started, { kind: "execute" });
      }
    });
  }

  #expire(): void {
    const { execute, reject } = this.#line.expire(this.#timer.nowMs());
    for (const id of execute) this.#decide(id, { kind: "execute" });
    for (const { id, retryAfterMs } of reject) {
      this.#decide(id, { kind: "reject", retryAfterMs });
    }
  }

  #decide(id: string, decision: FinalDecision): void {
    const onDecided = this.#waiting.get(id);
    this.#waiting.delete(id);
    if (onDecided) this.#timer.after(MESSAGE_MS, () => onDecided(decision));
  }
}
