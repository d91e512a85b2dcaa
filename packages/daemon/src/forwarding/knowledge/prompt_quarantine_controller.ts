import {
  CrashReportLimit,
  hash32,
  hasSurvivedBeginning,
  haveSameParts,
  type InFlightAttempt,
  MAX_PART_ID_LENGTH,
  type PromptCrashReport,
  type PromptDescription,
  PromptPartLedger,
  PublishedRecords,
  type QuarantinedParts,
  type RegisteredTarget,
  selectSuspects,
  sharedParts,
  type SuspectPrompt,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import { z } from "zod";
import type { Metrics } from "../../metrics/index.ts";
import type { PromptObserver } from "../forwarding_types.ts";
import type { CrashCheck } from "./crash_check.ts";
import type { FleetRelay } from "./fleet_relay.ts";
import type { PrefixChange } from "./followed_prefix.ts";
import { FollowingController } from "./following_controller.ts";
import {
  RecordPublisher,
  type RecordPublisherDependencies,
} from "./record_publisher.ts";
import type { RetainedFacts } from "./retained_facts.ts";

const PREFIX = "coltsfootford/prompt-quarantine/";
const CRASHED_TOPIC = "prompt-part.crashed";
const QUARANTINED_TOPIC = "prompt-part.quarantined";
const SOUND_TOPIC = "prompt-part.sound";
/** How often the daemons that publish a part check that it is in the store. */
const PUBLISH_PERIOD_MS = 1_000;

const PartSchema = z.string().max(MAX_PART_ID_LENGTH);
const QuarantinedPartsSchema = z.object({
  parts: z.array(PartSchema).min(1),
  crashes: z.array(z.string()),
});
const SoundPartSchema = z.object({
  part: PartSchema,
  crashes: z.array(z.string()),
});
const CrashReportSchema = z.object({
  target: z.string(),
  suspects: z.array(z.object({
    parts: z.array(PartSchema),
    hasResponse: z.boolean(),
    isAdvanced: z.boolean().optional(),
  })),
});

/** Dependencies of a `PromptQuarantineController`. */
export interface PromptQuarantineDependencies
  extends RecordPublisherDependencies {
  readonly relay: FleetRelay;
  readonly crashCheck: CrashCheck;
  readonly timer: TimerService;
  readonly metrics: Metrics;
}

/**
 * Writes `quarantinedParts`: prompt parts that crash the targets that respond
 * to them. Daemons announce the suspects of a crash to all others, each decides
 * by the same ledger, and two of them write the part to the store for daemons
 * that start later.
 */
export class PromptQuarantineController extends FollowingController
  implements PromptObserver, RetainedFacts {
  override readonly name = "prompt-quarantine";
  readonly topic = QUARANTINED_TOPIC;
  readonly #dependencies: PromptQuarantineDependencies;
  readonly #ledger = new PromptPartLedger();
  readonly #reportLimit = new CrashReportLimit();
  readonly #publisher: RecordPublisher;
  readonly #writer;
  /** Suspects of crashes that are being confirmed, by incarnation. */
  readonly #unconfirmed = new Map<string, SuspectPrompt[]>();
  /** The quarantined parts that are in the store, by key. */
  readonly #published = new PublishedRecords();
  readonly #publishedParts = new Map<string, readonly string[]>();
  #cancel: () => void = () => {};

  constructor(dependencies: PromptQuarantineDependencies) {
    super(PREFIX);
    this.#dependencies = dependencies;
    this.#publisher = new RecordPublisher(dependencies);
    this.#writer = dependencies.blackboard.quarantinedParts.claimWriter(
      this.name,
    );
    const { relay } = dependencies;
    relay.subscribe(CRASHED_TOPIC, CrashReportSchema, (report) => {
      this.#recordCrash(report);
    });
    relay.subscribe(QUARANTINED_TOPIC, QuarantinedPartsSchema, (parts) => {
      this.#recordQuarantine(parts);
    });
    relay.subscribe(SOUND_TOPIC, SoundPartSchema, (proof) => {
      this.#ledger.recordProof(proof, this.#nowMs());
      this.#write();
    });
  }

  override start(): Promise<void> {
    this.#cancel = this.#dependencies.timer.every(
      PUBLISH_PERIOD_MS,
      () => this.#updateStore(),
    );
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return {
      quarantined: this.#ledger.quarantined(this.#nowMs()),
      published: [...this.#published.keys].map((key) =>
        this.#publishedParts.get(key)
      ),
    };
  }

  /** The quarantined parts, for daemons that missed the announcements. */
  listFacts(): readonly QuarantinedParts[] {
    return this.#ledger.quarantined(this.#nowMs());
  }

  applyFact(fact: unknown): void {
    this.#recordQuarantine(QuarantinedPartsSchema.parse(fact));
  }

  onAttemptBroken(
    prompt: PromptDescription,
    target: RegisteredTarget,
    { hasResponse, eventsReceived }: InFlightAttempt,
  ): void {
    const nowMs = this.#nowMs();
    const parts = sharedParts(prompt).map(({ id }) => id).filter((part) =>
      part.length <= MAX_PART_ID_LENGTH &&
      !this.#ledger.isProvenSound(part, nowMs)
    );
    if (parts.length === 0) return;
    const isAdvanced = hasSurvivedBeginning(eventsReceived);
    const suspect = { parts, hasResponse, isAdvanced };
    const collected = this.#unconfirmed.get(target.incarnation);
    if (collected) {
      collected.push(suspect);
      return;
    }
    this.#unconfirmed.set(target.incarnation, [suspect]);
    void this.#reportIfCrashed(target);
  }

  onResponseCompleted(prompt: PromptDescription): void {
    const parts = sharedParts(prompt).map(({ id }) => id);
    const proofs = this.#ledger.recordSound(parts, this.#nowMs());
    if (proofs.length === 0) return;
    for (const proof of proofs) {
      this.#dependencies.relay.announce(SOUND_TOPIC, proof);
    }
    this.#write();
  }

  onResponseUnproven(
    prompt: PromptDescription,
    target: RegisteredTarget,
    attempt: InFlightAttempt,
  ): void {
    if (sharedParts(prompt).length === 0) return;
    void this.#dependencies.crashCheck.isDown(target).then((isDown) => {
      if (isDown) this.onAttemptBroken(prompt, target, attempt);
      else this.onResponseCompleted(prompt);
    });
  }

  protected override applyEntries(
    entries: readonly KeyValueEntry[],
    { isRestored }: PrefixChange,
  ): void {
    const decoded = new Map<string, QuarantinedParts>();
    for (const { key, value } of entries) {
      const quarantined = decodeEntry(value);
      if (!quarantined) {
        const error = "value is not a list of quarantined prompt parts";
        this.#dependencies.log.event("knowledgeRefused", { key, error });
        continue;
      }
      decoded.set(key, quarantined);
    }
    for (const key of this.#published.update([...decoded.keys()], isRestored)) {
      this.#ledger.release(this.#publishedParts.get(key) ?? []);
      this.#publishedParts.delete(key);
    }
    for (const key of this.#published.keys) {
      const quarantined = decoded.get(key)!;
      this.#publishedParts.set(key, quarantined.parts);
      this.#recordQuarantine(quarantined);
    }
    this.#write();
  }

  #nowMs(): number {
    return this.#dependencies.timer.nowMs();
  }

  async #reportIfCrashed(target: RegisteredTarget): Promise<void> {
    const { crashCheck, relay, log } = this.#dependencies;
    const isDown = await crashCheck.isDown(target);
    const { incarnation } = target;
    const suspects = selectSuspects(this.#unconfirmed.get(incarnation) ?? []);
    this.#unconfirmed.delete(incarnation);
    if (!isDown) return;
    const hasBegun = suspects.some(({ hasResponse }) => hasResponse);
    if (!this.#reportLimit.mayReport(hasBegun, this.#nowMs())) return;
    log.event("partsSuspected", {
      target: incarnation,
      parts: [...new Set(suspects.flatMap(({ parts }) => parts))],
      hasBegun,
    });
    const report = { target: incarnation, suspects };
    relay.announce(CRASHED_TOPIC, report);
    const quarantined = this.#recordCrash(report);
    if (quarantined) relay.announce(QUARANTINED_TOPIC, quarantined);
  }

  #recordCrash(report: PromptCrashReport): QuarantinedParts | undefined {
    const { metrics } = this.#dependencies;
    this.#reportLimit.recordReport(this.#nowMs());
    metrics.count("prompt_crash_reports_total");
    const quarantined = this.#ledger.recordCrash(report, this.#nowMs());
    if (quarantined) this.#write();
    return quarantined;
  }

  #recordQuarantine(quarantined: QuarantinedParts): void {
    const proofs = this.#ledger.recordQuarantine(quarantined, this.#nowMs());
    for (const proof of proofs) {
      this.#dependencies.relay.announce(SOUND_TOPIC, proof);
    }
    this.#write();
  }

  /** Writes the quarantined parts to the blackboard and logs the changes. */
  #write(): void {
    const { log, blackboard } = this.#dependencies;
    const before = blackboard.quarantinedParts.read();
    const quarantined = this.#ledger.quarantined(this.#nowMs());
    const added = quarantined.filter(({ parts }) => !includes(before, parts));
    const after = quarantined.map(({ parts }) => parts);
    const released = before.filter((parts) => !includes(after, parts));
    if (added.length === 0 && released.length === 0) return;
    for (const { parts, crashes } of added) {
      this.#published.readmit(keyOf(parts));
      log.event("partQuarantined", { parts, crashes: crashes.length });
    }
    for (const parts of released) log.event("partReleased", { parts });
    this.#writer.write(after);
  }

  /**
   * Makes the store's records match the quarantine, which may have changed while
   * the store was away.
   */
  #updateStore(): void {
    this.#write();
    const quarantined = this.#ledger.quarantined(this.#nowMs());
    const { keys: published, revived } = this.#published;
    const isInStore = published.size > 0 || revived.length > 0;
    if (quarantined.length === 0 && !isInStore) return;
    if (!this.#dependencies.blackboard.storeContact.read().isReachable) return;
    const wanted = new Map(
      quarantined.map((one) => [keyOf(one.parts), JSON.stringify(one)]),
    );
    const obsolete = [...published, ...revived].filter((key) =>
      !wanted.has(key)
    );
    void this.#publisher.update(wanted, published, obsolete);
  }
}

/** Part ids can be longer than the store's keys. */
function keyOf(parts: readonly string[]): string {
  return `${PREFIX}${hash32(parts.join(",")).toString(16)}`;
}

function includes(
  all: readonly (readonly string[])[],
  parts: readonly string[],
): boolean {
  return all.some((other) => haveSameParts(other, parts));
}

function decodeEntry(value: string): QuarantinedParts | undefined {
  try {
    return QuarantinedPartsSchema.safeParse(JSON.parse(value)).data;
  } catch {
    // The caller logs that the value can't be decoded.
    return undefined;
  }
}
