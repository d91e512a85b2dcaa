import type { TimerService } from "@coltsfootford/core";
import type { PeerDaemon } from "../forwarding_blackboard.ts";

/** Collects what is to be sent to one owner, so that it costs one message. */
export class OwnerBatches<Item> {
  readonly #timer: TimerService;
  readonly #delayMs: number;
  readonly #send: (owner: PeerDaemon, items: Item[]) => void;
  readonly #itemsByOwner = new Map<string, Item[]>();

  /** Sends the items of an owner `delayMs` after the first of them. */
  constructor(
    timer: TimerService,
    delayMs: number,
    send: (owner: PeerDaemon, items: Item[]) => void,
  ) {
    this.#timer = timer;
    this.#delayMs = delayMs;
    this.#send = send;
  }

  add(owner: PeerDaemon, item: Item): void {
    const existing = this.#itemsByOwner.get(owner.name);
    if (existing) {
      existing.push(item);
      return;
    }
    const items = [item];
    this.#itemsByOwner.set(owner.name, items);
    this.#timer.after(this.#delayMs, () => {
      this.#itemsByOwner.delete(owner.name);
      this.#send(owner, items);
    });
  }
}
