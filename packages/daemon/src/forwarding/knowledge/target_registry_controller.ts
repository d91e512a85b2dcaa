import {
  formatStepError,
  type RegisteredTarget,
  type TargetRegistration,
  TargetRegistrationSchema,
  TargetRegistry,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import type { Logger } from "../../log/index.ts";
import type { ForwardingBlackboard } from "../forwarding_blackboard.ts";
import type { LeavingObserver } from "../forwarding_types.ts";
import { DecodedEntries } from "./decoded_entries.ts";
import { FollowingController } from "./following_controller.ts";
import type { PrefixChange } from "./followed_prefix.ts";
import type { RetainedFacts } from "./retained_facts.ts";
import type { StoreRecordCodec } from "./store_record_codec.ts";

/**
 * Time after a store outage within which the store's first response shows which
 * registrations lapsed during the outage. A target whose registration is
 * missing later has left.
 */
const RECOVERY_WINDOW_MS = 1_000;
/** How long a peer's report that it reaches the store is valid. */
const PEER_CONTACT_TTL_MS = 2_000;

/**
 * Writes `targets`: the targets that may receive requests. Passes on which ones
 * are leaving, since a restored store may hold them as ready.
 */
export class TargetRegistryController extends FollowingController
  implements RetainedFacts, LeavingObserver {
  override readonly name = "roster";
  readonly topic = "target.leaving";
  readonly #registry = new TargetRegistry();
  readonly #blackboard: ForwardingBlackboard;
  readonly #codec: StoreRecordCodec;
  readonly #timer: TimerService;
  readonly #log: Logger;
  readonly #writer;
  readonly #entries = new DecodedEntries((key, text) =>
    this.#decode(key, text)
  );
  #states: ReadonlyMap<string, string> = new Map();
  #lastUnreachableAtMs = -Infinity;
  /** When a peer passed on entries after an outage. */
  #toldOutageAtMs = -Infinity;
  #lastWritten = "";
  #cancelLapseTimer: () => void = () => {};

  constructor(
    blackboard: ForwardingBlackboard,
    codec: StoreRecordCodec,
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
      if (!isReachable) this.#lastUnreachableAtMs = timer.nowMs();
    });
  }

  override stop(): Promise<void> {
    this.#cancelLapseTimer();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return {
      ...this.followed.revision,
      targets: Object.fromEntries(this.#states),
    };
  }

  listFacts(): readonly TargetRegistration[] {
    return this.#registry.leaving();
  }

  applyFact(fact: unknown): void {
    this.#recordLeaving(TargetRegistrationSchema.parse(fact));
  }

  /** Holds for this incarnation, whatever the store says. */
  onLeaving(target: RegisteredTarget): void {
    this.#recordLeaving(target);
  }

  #recordLeaving(registration: TargetRegistration): void {
    const nowMs = this.#timer.nowMs();
    if (!this.#registry.recordLeaving(registration, nowMs)) return;
    if (this.#blackboard.targets.read() !== undefined) this.#publish();
  }

  protected override applyEntries(
    entries: readonly KeyValueEntry[],
    { isFromPeer, isRestored, isAfterOutage: isToldOutage }: PrefixChange,
  ): void {
    const nowMs = this.#timer.nowMs();
    const isAfterOutage = isRestored || isToldOutage ||
      (!isFromPeer && this.#hasStoreRecovered(nowMs));
    if (isToldOutage) this.#toldOutageAtMs = nowMs;
    this.#registry.update(
      this.#entries.update(entries),
      nowMs,
      isAfterOutage,
    );
    this.#publish();
  }

  /** Whether entries may be missing that lapsed while the store was away. */
  isAfterOutage(): boolean {
    const nowMs = this.#timer.nowMs();
    return this.#hasStoreRecovered(nowMs) ||
      nowMs - this.#toldOutageAtMs < RECOVERY_WINDOW_MS;
  }

  /**
   * Whether the store has just recovered from an outage for all daemons, not
   * only for this one.
   */
  #hasStoreRecovered(nowMs: number): boolean {
    if (nowMs - this.#lastUnreachableAtMs >= RECOVERY_WINDOW_MS) return false;
    return nowMs - this.#blackboard.peerContactAtMs.read() >=
      PEER_CONTACT_TTL_MS;
  }

  #decode(key: string, text: string): TargetRegistration | undefined {
    const registration = this.#codec.decodeRegistration(key, text);
    if (registration.isOk()) return registration.value;
    const error = formatStepError(registration.error);
    this.#log.event("knowledgeRefused", { key, error });
    return undefined;
  }

  #publish(): void {
    const nowMs = this.#timer.nowMs();
    const targets = this.#registry.eligible(nowMs);
    // A heartbeat changes only the sequence number and needs no write, unless it
    // may state that a target is cold once more.
    const serialized = JSON.stringify(
      targets.map((target) =>
        target.coldLeftMs > 0 ? target : { ...target, sequence: 0 }
      ),
    );
    if (serialized !== this.#lastWritten || targets.length === 0) {
      this.#lastWritten = serialized;
      this.#logChanges();
      this.#writer.write(targets);
    }
    this.#cancelLapseTimer();
    const lapseAtMs = this.#registry.nextLapseAtMs(nowMs);
    if (lapseAtMs === undefined) return;
    this.#cancelLapseTimer = this.#timer.after(
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
      ...this.followed.revision,
    });
  }
}
