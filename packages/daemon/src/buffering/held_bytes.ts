import type {
  ByteBudget,
  ByteHolding,
  ByteKind,
  TimerService,
} from "@coltsfootford/core";
import type { GarbageLimit } from "../garbage/index.ts";

/**
 * What a daemon holds for one request or one response. Without a budget nothing
 * is counted or evicted.
 */
export class HeldBytes {
  readonly #budget: ByteBudget | undefined;
  readonly #kind: ByteKind;
  readonly #timer: TimerService;
  readonly #holding: ByteHolding | undefined;
  readonly #garbage: GarbageLimit | undefined;
  readonly #evictionActions: (() => void)[] = [];
  #isEvicted = false;

  constructor(
    budget: ByteBudget | undefined,
    kind: ByteKind,
    timer: TimerService,
    onEvicted: (heldBytes: number) => void = () => {},
    garbage?: GarbageLimit,
  ) {
    this.#garbage = garbage;
    this.#budget = budget;
    this.#kind = kind;
    this.#timer = timer;
    this.#holding = budget?.open(kind, (heldBytes) => {
      this.#isEvicted = true;
      onEvicted(heldBytes);
      for (const action of this.#evictionActions) action();
    }, timer.nowMs());
  }

  get isEvicted(): boolean {
    return this.#isEvicted;
  }

  /** Whether a budget limits what is held. */
  get isLimited(): boolean {
    return this.#budget !== undefined;
  }

  /** Whether all holdings of this kind take more than half of their share. */
  get isScarce(): boolean {
    if (!this.#budget) return false;
    const kind = this.#kind;
    return this.#budget.heldBytes(kind) > this.#budget.limitBytes(kind) / 2;
  }

  /** Calls `action` if the budget takes these bytes back, or has done so. */
  onEvicted(action: () => void): void {
    if (this.#isEvicted) action();
    else this.#evictionActions.push(action);
  }

  /** May evict this holding or others. */
  charge(bytes: number): void {
    // Most charges are for copies of chunks, which are garbage now.
    this.#garbage?.onAllocated(bytes);
    this.#holding?.charge(bytes, this.#timer.nowMs());
  }

  discharge(bytes: number): void {
    this.#holding?.discharge(bytes, this.#timer.nowMs());
  }

  release(): void {
    this.#holding?.release();
  }
}
