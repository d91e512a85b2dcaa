import {
  Evacuations,
  formatStepError,
  type LostEvacuation,
  LostEvacuationSchema,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import type { Logger } from "../../log/index.ts";
import type { ForwardingBlackboard } from "../forwarding_blackboard.ts";
import { DecodedEntries } from "./decoded_entries.ts";
import { FollowingController } from "./following_controller.ts";
import type { PrefixChange } from "./followed_prefix.ts";
import type { RetainedFacts } from "./retained_facts.ts";
import type { StoreRecordCodec } from "./store_record_codec.ts";

/**
 * Writes `evacuatedZones`. Passes on the evacuations that a restored store has
 * lost, so that daemons that start later keep to them as well.
 */
export class EvacuationController extends FollowingController
  implements RetainedFacts {
  override readonly name = "evacuation";
  readonly topic = "zone.evacuated";
  readonly #timer: TimerService;
  readonly #log: Logger;
  readonly #writer;
  readonly #evacuations = new Evacuations();
  readonly #entries: DecodedEntries<string>;
  #inForce: ReadonlySet<string> = new Set();
  #cancelExpiry: () => void = () => {};

  constructor(
    blackboard: ForwardingBlackboard,
    codec: StoreRecordCodec,
    timer: TimerService,
    log: Logger,
  ) {
    super(codec.evacuationPrefix);
    this.#timer = timer;
    this.#log = log;
    this.#writer = blackboard.evacuatedZones.claimWriter(this.name);
    this.#entries = new DecodedEntries((key) => {
      const zone = codec.decodeEvacuation(key);
      if (zone.isOk()) return zone.value;
      const error = formatStepError(zone.error);
      log.event("knowledgeRefused", { key, error });
      return undefined;
    });
  }

  override stop(): Promise<void> {
    this.#cancelExpiry();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return {
      zones: [...this.#inForce],
      lost: this.#evacuations.lost(this.#timer.nowMs()),
      ...this.followed.revision,
    };
  }

  listFacts(): readonly LostEvacuation[] {
    return this.#evacuations.lost(this.#timer.nowMs());
  }

  applyFact(fact: unknown): void {
    const evacuation = LostEvacuationSchema.parse(fact);
    this.#evacuations.recordLost(evacuation, this.#timer.nowMs());
    this.#publish(true);
  }

  protected override applyEntries(
    entries: readonly KeyValueEntry[],
    { isFromPeer, isRestored }: PrefixChange,
  ): void {
    const zones = new Set(this.#entries.update(entries));
    this.#evacuations.update(zones, isRestored, this.#timer.nowMs());
    this.#publish(isFromPeer);
  }

  #publish(isFromPeer: boolean): void {
    const nowMs = this.#timer.nowMs();
    this.#scheduleExpiry();
    const zones = this.#evacuations.inForce(nowMs);
    const isSame = zones.size === this.#inForce.size &&
      [...zones].every((zone) => this.#inForce.has(zone));
    if (isSame) return;
    this.#inForce = zones;
    this.#writer.write(zones);
    this.#log.event("evacuationChanged", {
      zones: [...zones],
      isFromPeer,
      ...this.followed.revision,
    });
  }

  #scheduleExpiry(): void {
    this.#cancelExpiry();
    const lost = this.#evacuations.lost(this.#timer.nowMs());
    if (lost.length === 0) return;
    const nextMs = Math.min(...lost.map(({ leftMs }) => leftMs));
    this.#cancelExpiry = this.#timer.after(
      nextMs + 1,
      () => this.#publish(false),
    );
  }
}
