import {
  formatStepError,
  type TargetRegistration,
  TargetRegistry,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import type { Logger } from "../../log/index.ts";
import type { ForwardingBlackboard } from "../forwarding_blackboard.ts";
import { FollowingController } from "./following_controller.ts";
import type { KnowledgeCodec } from "./knowledge_codec.ts";

/**
 * Time after a trouble of the store in which its first answer shows which
 * registrations lapsed meanwhile. What is missing later has left.
 */
const FIRST_LOOK_MS = 1_000;
/** How long a peer's word holds that the store answers it. */
const PEER_CONTACT_MS = 2_000;

/** Writes `targets`: the targets that may be sent work. */
export class TargetRegistryController extends FollowingController {
  override readonly name = "roster";
  readonly #registry = new TargetRegistry();
  readonly #blackboard: ForwardingBlackboard;
  readonly #codec: KnowledgeCodec;
  readonly #timer: TimerService;
  readonly #log: Logger;
  readonly #writer;
  readonly #refusedKeys = new Set<string>();
  #states: ReadonlyMap<string, string> = new Map();
  #lastSilentAtMs = -Infinity;
  #written = "";
  #cancelLapse: () => void = () => {};

  constructor(
    blackboard: ForwardingBlackboard,
    codec: KnowledgeCodec,
    timer: TimerService,
    log: Logger,
  ) {
    super(codec.registrationPrefix);
    this.#blackboard = blackboard;
    this.#codec = codec;
    this.#timer = timer;
    this.#log = log;
    this.#writer = blackboard.targets.claimWriter(this.name);
    blackboard.storeContact.subscribe(({ isReachable }) => {
      if (!isReachable) this.#lastSilentAtMs = timer.nowMs();
    });
  }

  override stop(): Promise<void> {
    this.#cancelLapse();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return {
      revision: this.followed.revision,
      targets: Object.fromEntries(this.#states),
    };
  }

  protected override applyEntries(
    entries: readonly KeyValueEntry[],
    isFromPeer: boolean,
  ): void {
    const nowMs = this.#timer.nowMs();
    const isAfterTrouble = !isFromPeer && this.#isStoreBack(nowMs);
    this.#registry.update(this.#decode(entries), nowMs, isAfterTrouble);
    this.#publish();
  }

  /** Tells whether the store is just back for all, not only for this daemon. */
  #isStoreBack(nowMs: number): boolean {
    if (nowMs - this.#lastSilentAtMs >= FIRST_LOOK_MS) return false;
    return nowMs - this.#blackboard.peerContactAtMs.read() >= PEER_CONTACT_MS;
  }

  #decode(entries: readonly KeyValueEntry[]): TargetRegistration[] {
    const registrations: TargetRegistration[] = [];
    for (const { key, value, modRevision } of entries) {
      const registration = this.#codec.decodeRegistration(key, value);
      if (registration.isOk()) {
        registrations.push(registration.value);
        continue;
      }
      const mark = `${key}@${modRevision}`;
      if (this.#refusedKeys.has(mark)) continue;
      this.#refusedKeys.add(mark);
      const error = formatStepError(registration.error);
      this.#log.event("knowledgeRefused", { key, error });
    }
    return registrations;
  }

  #publish(): void {
    const nowMs = this.#timer.nowMs();
    const targets = this.#registry.eligible(nowMs);
    // Heartbeats change nothing but the sequence, and need no write.
    const facts = JSON.stringify(
      targets.map((target) => ({ ...target, sequence: 0 })),
    );
    if (facts !== this.#written || targets.length === 0) {
      this.#written = facts;
      this.#logChanges();
      this.#writer.write(targets);
    }
    this.#cancelLapse();
    const lapseAtMs = this.#registry.nextLapseAtMs(nowMs);
    if (lapseAtMs === undefined) return;
    this.#cancelLapse = this.#timer.after(
      lapseAtMs - nowMs + 1,
      () => this.#publish(),
    );
  }

  #logChanges(): void {
    const states = this.#registry.states();
    const changes: Record<string, string> = {};
    for (const [id, state] of states) {
      if (this.#states.get(id) !== state) changes[id] = state;
    }
    this.#states = states;
    if (Object.keys(changes).length === 0) return;
    this.#log.event("rosterChanged", {
      changes,
      revision: this.followed.revision,
    });
  }
}
