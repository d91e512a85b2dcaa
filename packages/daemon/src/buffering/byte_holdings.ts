import {
  ByteBudget,
  type ByteKind,
  planByteBudget,
  type TimerService,
} from "@coltsfootford/core";
import { createGarbageLimits, type GarbageLimits } from "../garbage/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { HeldBytes } from "./held_bytes.ts";

const KINDS: readonly ByteKind[] = ["request", "response"];

/** Dependencies of `ByteHoldings`. */
export interface ByteHoldingsDependencies {
  /** The memory of the machine; undefined for no budget. */
  readonly memoryLimitBytes: number | undefined;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Opens the holdings of a daemon's account, and reports on them. */
export class ByteHoldings {
  readonly #dependencies: ByteHoldingsDependencies;
  readonly #budget: ByteBudget | undefined;
  readonly #garbage: GarbageLimits | undefined;

  constructor(dependencies: ByteHoldingsDependencies) {
    this.#dependencies = dependencies;
    const { memoryLimitBytes, metrics } = dependencies;
    this.#garbage = createGarbageLimits(memoryLimitBytes);
    if (memoryLimitBytes === undefined) return;
    const budget = new ByteBudget(planByteBudget(memoryLimitBytes));
    this.#budget = budget;
    for (const kind of KINDS) {
      metrics.gauge(`held_${kind}_bytes`, () => budget.heldBytes(kind));
      metrics.gauge(`held_${kind}_limit_bytes`, () => budget.limitBytes(kind));
    }
  }

  /** Call it for bytes that were read and soon are garbage. */
  onReceived(bytes: number): void {
    this.#garbage?.buffers.onAllocated(bytes);
  }

  /** Call it for the memory of a head that is far from ordinary. */
  onLargeHead(bytes: number): void {
    this.#garbage?.heap.onAllocated(bytes);
  }

  /** Opens a holding; `requestId` is for the log alone. */
  open(kind: ByteKind, requestId: string | undefined): HeldBytes {
    const { timer, log, metrics } = this.#dependencies;
    const onEvicted = (heldBytes: number) => {
      metrics.count(`held_${kind}_evictions_total`);
      log.event("heldBytesEvicted", { request: requestId, kind, heldBytes });
    };
    return new HeldBytes(
      this.#budget,
      kind,
      timer,
      onEvicted,
      this.#garbage?.buffers,
    );
  }
}
