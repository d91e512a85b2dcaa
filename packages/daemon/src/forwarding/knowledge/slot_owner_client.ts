import type { TimerService } from "@coltsfootford/core";
import type { Logger } from "../../log/index.ts";
import type { Metrics } from "../../metrics/index.ts";
import type { PeerDaemon } from "../forwarding_blackboard.ts";
import type { CallPeer } from "./call_peer.ts";
import { OwnerBatches } from "./owner_batches.ts";
import {
  type EndedSlot,
  groupEnds,
  type SlotAsk,
  type SlotAsks,
  SlotRepliesSchema,
  type SlotReply,
} from "./slot_messages.ts";

export const REQUEST_METHOD = "slots.request";
export const END_METHOD = "slots.end";

/** An owner in another zone responds within a few ms. */
const OWNER_TIMEOUT_MS = 150;
/**
 * How long the owner may hold back a response. Held responses carry the turn
 * without delay; asking again bounds what the loss of the owner costs.
 */
export const HOLD_MS = 100;
/** How long an owner that did not respond is passed over. */
const UNREACHABLE_MS = 1_000;
/**
 * Delay of a time-out that shows a pause of this process. The response may have
 * arrived in the meantime, so the time-out says nothing about the owner.
 */
const PAUSE_MS = 20;
/** Time for which asks are collected; a surge then costs a few messages. */
const ASK_BATCH_MS = 1;
/** Time for which asks are collected while the owner holds back enough others. */
const POLL_MS = 30;
/**
 * Time for which ends are collected. Executions that end together then cost one
 * message, and a slot is idle for little of an execution of tens of ms.
 */
const END_BATCH_MS = 3;

/**
 * Responses that one owner holds back for this daemon. Each occupies one of the
 * 32 connections to the owner, which also carry permits and ends.
 */
const MAX_HELD_PER_OWNER = 8;
/**
 * Asks whose response is held back together. When one of them is decided, the
 * others are sent again, 250 bytes each.
 */
const MAX_ASKS_PER_HOLD = 8;

/** An ask that was not sent yet. */
interface PendingAsk {
  readonly ask: SlotAsk;
  readonly resolve: (reply: SlotReply | undefined) => void;
}

/** Dependencies of a `SlotOwnerClient`. */
export interface SlotOwnerClientDependencies {
  readonly callPeer: CallPeer;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Sends asks for slots and the ends of their use to the owners of targets. */
export class SlotOwnerClient {
  readonly #dependencies: SlotOwnerClientDependencies;
  readonly #asks: OwnerBatches<PendingAsk>;
  readonly #heldAsks: OwnerBatches<PendingAsk>;
  readonly #polls: OwnerBatches<PendingAsk>;
  /** Responses that owners hold back. */
  readonly #held = new Map<string, number>();
  readonly #ends: OwnerBatches<EndedSlot>;
  readonly #passedOverUntilMs = new Map<string, number>();

  constructor(dependencies: SlotOwnerClientDependencies) {
    const { timer } = dependencies;
    this.#dependencies = dependencies;
    this.#asks = new OwnerBatches(
      timer,
      ASK_BATCH_MS,
      (owner, pending) => void this.#send(owner, pending, 0),
    );
    this.#heldAsks = new OwnerBatches(
      timer,
      ASK_BATCH_MS,
      (owner, pending) => this.#sendHeld(owner, pending),
    );
    this.#polls = new OwnerBatches(
      timer,
      POLL_MS,
      (owner, pending) => void this.#send(owner, pending, 0),
    );
    this.#ends = new OwnerBatches(
      timer,
      END_BATCH_MS,
      (owner, ends) => this.#sendEnds(owner, ends),
    );
  }

  /** Asks the owner; the result is undefined where it does not respond. */
  ask(owner: PeerDaemon, ask: SlotAsk): Promise<SlotReply | undefined> {
    return this.#add(this.#asks, owner, ask);
  }

  /** Asks again for a waiting request; the owner may hold back the response. */
  askAgain(owner: PeerDaemon, ask: SlotAsk): Promise<SlotReply | undefined> {
    const held = this.#held.get(owner.name) ?? 0;
    const batches = held < MAX_HELD_PER_OWNER ? this.#heldAsks : this.#polls;
    return this.#add(batches, owner, ask);
  }

  #add(
    batches: OwnerBatches<PendingAsk>,
    owner: PeerDaemon,
    ask: SlotAsk,
  ): Promise<SlotReply | undefined> {
    return new Promise((resolve) => batches.add(owner, { ask, resolve }));
  }

  reportEnd(owner: PeerDaemon, end: EndedSlot): void {
    this.#ends.add(owner, end);
  }

  #sendHeld(owner: PeerDaemon, pending: readonly PendingAsk[]): void {
    for (let at = 0; at < pending.length; at += MAX_ASKS_PER_HOLD) {
      const part = pending.slice(at, at + MAX_ASKS_PER_HOLD);
      this.#countHeld(owner, 1);
      void this.#send(owner, part, HOLD_MS);
    }
  }

  #countHeld({ name }: PeerDaemon, change: number): void {
    const held = (this.#held.get(name) ?? 0) + change;
    if (held === 0) this.#held.delete(name);
    else this.#held.set(name, held);
  }

  async #send(
    owner: PeerDaemon,
    pending: readonly PendingAsk[],
    holdMs: number,
  ): Promise<void> {
    const asks = pending.map(({ ask }) => ask);
    const replies = await this.#exchange(owner, { asks, holdMs }, true);
    if (holdMs > 0) this.#countHeld(owner, -1);
    for (const [index, { resolve }] of pending.entries()) {
      resolve(replies?.[index]);
    }
  }

  async #exchange(
    owner: PeerDaemon,
    params: SlotAsks,
    mayRepeat: boolean,
  ): Promise<SlotReply[] | undefined> {
    const { callPeer, timer, log } = this.#dependencies;
    const passedOverUntilMs = this.#passedOverUntilMs.get(owner.name) ?? 0;
    const sentAtMs = timer.nowMs();
    if (sentAtMs < passedOverUntilMs) return undefined;
    const timeoutMs = OWNER_TIMEOUT_MS + params.holdMs;
    try {
      return SlotRepliesSchema.parse(
        await callPeer(owner, REQUEST_METHOD, params, timeoutMs),
      );
    } catch (cause) {
      const wasPaused = timer.nowMs() - sentAtMs > timeoutMs + PAUSE_MS;
      if (wasPaused && mayRepeat) return this.#exchange(owner, params, false);
      const error = (cause as Error).message;
      this.#passedOverUntilMs.set(owner.name, timer.nowMs() + UNREACHABLE_MS);
      log.event("peerUnreachable", { peer: owner.name, error });
      // The asks may have arrived, and their response may have been lost.
      for (const { target, id } of params.asks) {
        const end = { target, id, wasGranted: false, capacity: undefined };
        this.#ends.add(owner, end);
      }
      return undefined;
    }
  }

  /** The owner's bound on executions replaces a report that is lost. */
  #sendEnds(owner: PeerDaemon, ends: readonly EndedSlot[]): void {
    const { callPeer, metrics } = this.#dependencies;
    const params = { targets: groupEnds(ends) };
    Promise.resolve(callPeer(owner, END_METHOD, params))
      .catch(() => metrics.count("slot_ends_lost_total"));
  }
}
