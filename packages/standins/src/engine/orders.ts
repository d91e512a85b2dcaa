import { z } from "zod";
import { monotonicMs } from "../truth/index.ts";

/** An order from a placement controller to an engine. */
export const orderSchema = z.strictObject({
  name: z.string().min(1),
  fence: z.int().nonnegative(),
  kind: z.enum(["load_model", "load_adapter", "set_role", "unload_model"]),
  model: z.string().optional(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  role: z.string().optional(),
});

export type Order = z.infer<typeof orderSchema>;

/** An accepted order. */
export interface ExecutedOrder {
  readonly order: Order;
  readonly atMonotonicMs: number;
  /** Highest fencing token received before this order. */
  readonly highestFence: number;
}

/** The outcome of an order. */
export type OrderOutcome = "done" | "repeated" | "stale_fence";

/**
 * The orders of one engine. Orders are idempotent by name. With `checksFences`
 * an order with a lower fencing token than an earlier one is rejected.
 */
export class OrderLog {
  readonly #checksFences: boolean;
  #highestFence = 0;
  #executed: ExecutedOrder[] = [];
  #rejected: Order[] = [];

  constructor(checksFences: boolean) {
    this.#checksFences = checksFences;
  }

  get executed(): readonly ExecutedOrder[] {
    return this.#executed;
  }

  get rejected(): readonly Order[] {
    return this.#rejected;
  }

  accept(order: Order): OrderOutcome {
    if (this.#checksFences && order.fence < this.#highestFence) {
      this.#rejected.push(order);
      return "stale_fence";
    }
    if (this.#executed.some((executed) => executed.order.name === order.name)) {
      return "repeated";
    }
    this.#executed.push({
      order,
      atMonotonicMs: monotonicMs(),
      highestFence: this.#highestFence,
    });
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    return "done";
  }

  reset(): void {
    this.#executed = [];
    this.#rejected = [];
  }
}
