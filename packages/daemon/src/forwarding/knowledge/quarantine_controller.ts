import {
  hasSurvivedBeginning,
  type InFlightAttempt,
  orderByRendezvous,
  PoisonLedger,
  type PoisonSettings,
  PublishedRecords,
  type RegisteredTarget,
  requestDigestSchema,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import type { JSONRPCServer } from "json-rpc-2.0";
import { z } from "zod";
import type { PeerDaemon } from "../forwarding_blackboard.ts";
import type { CrashObserver } from "../forwarding_types.ts";
import { digestRequest, type RequestContent } from "../request_digest.ts";
import { callPeer } from "./call_peer.ts";
import type { CrashCheck } from "./crash_check.ts";
import type { FleetRelay } from "./fleet_relay.ts";
import type { PrefixChange } from "./followed_prefix.ts";
import { FollowingController } from "./following_controller.ts";
import {
  QUARANTINE_TTL_MS,
  RecordPublisher,
  type RecordPublisherDependencies,
} from "./record_publisher.ts";
import type { RetainedFacts } from "./retained_facts.ts";

const PREFIX = "coltsfootford/quarantine/";
const QUARANTINED_TOPIC = "request.quarantined";
const CRASHED_METHOD = "quarantine.crashed";
/** How often records are written that are missing in the store. */
const PUBLISH_PERIOD_MS = 1_000;
/** Daemons that receive each crash report, so that one may be unavailable. */
const REPORT_RECIPIENTS = 2;
/** Daemons in place of a recipient that can't be reached, itself included. */
const MAX_REPORT_ATTEMPTS = 4;
/** Limit of quarantined digests; the oldest are evicted first. */
const MAX_QUARANTINED = 1_000;
/** Maximum number of recently served requests without a body to track. */
const MAX_SERVED_ENTRIES = 2_000;

/**
 * Content is quarantined after its third crash. Fewer targets may fail for
 * other reasons while they execute the same content.
 */
const LEDGER_SETTINGS: PoisonSettings = {
  maxCrashes: 3,
  evidenceTtlMs: 120_000,
  sameCrashWindowMs: 0,
  maxDigests: 5_000,
};

const CrashSchema = z.object({
  digest: requestDigestSchema,
  target: z.string(),
  reporter: z.string(),
});
type Crash = z.infer<typeof CrashSchema>;

const QuarantinedSchema = z.object({ digest: requestDigestSchema });
type Quarantined = z.infer<typeof QuarantinedSchema>;

/** Dependencies of a `QuarantineController`. */
export interface QuarantineDependencies extends RecordPublisherDependencies {
  readonly rpc: JSONRPCServer;
  readonly relay: FleetRelay;
  readonly crashCheck: CrashCheck;
  readonly timer: TimerService;
}

/**
 * Writes `quarantine`: digests of requests that crash the targets that execute
 * them. Rendezvous hashing of the digest selects the few daemons that receive
 * its crash reports. A daemon that has received enough of them announces the
 * digest to all others, and two write it to the store for daemons that start
 * later.
 */
export class QuarantineController extends FollowingController
  implements CrashObserver, RetainedFacts {
  override readonly name = "quarantine";
  readonly topic = QUARANTINED_TOPIC;
  readonly #dependencies: QuarantineDependencies;
  readonly #ledger = new PoisonLedger(LEDGER_SETTINGS);
  readonly #servedAtMs = new Map<string, number>();
  readonly #publisher: RecordPublisher;
  readonly #writer;
  /** By digest: when the quarantine ends. */
  readonly #quarantinedUntilMs = new Map<string, number>();
  readonly #published = new PublishedRecords();
  #cancel: () => void = () => {};

  constructor(dependencies: QuarantineDependencies) {
    super(PREFIX);
    this.#dependencies = dependencies;
    this.#publisher = new RecordPublisher(dependencies);
    this.#writer = dependencies.blackboard.quarantine.claimWriter(this.name);
    dependencies.rpc.addMethod(CRASHED_METHOD, async (params: unknown) => {
      await this.#recordCrash(CrashSchema.parse(params));
      return {};
    });
    dependencies.relay.subscribe(
      QUARANTINED_TOPIC,
      QuarantinedSchema,
      (body) => this.#quarantine(body.digest),
    );
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
      ...this.#ledger.list(),
      rejected: [...this.#quarantinedUntilMs.keys()],
    };
  }

  /** The quarantined digests, for daemons that missed the announcements. */
  listFacts(): readonly Quarantined[] {
    return [...this.#quarantinedUntilMs.keys()].map((digest) => ({ digest }));
  }

  applyFact(fact: unknown): void {
    this.#quarantine(QuarantinedSchema.parse(fact).digest);
  }

  onAttemptBroken(
    request: RequestContent,
    target: RegisteredTarget,
    { eventsReceived }: InFlightAttempt,
  ): void {
    if (hasSurvivedBeginning(eventsReceived)) return;
    void this.#reportIfCrashed(request, target);
  }

  /** Tracks only requests without a body, since these repeat often enough. */
  onRequestServed(request: RequestContent): void {
    if (request.body.length > 0) return;
    const key = `${request.team?.name} ${request.method} ${request.path}`;
    this.#servedAtMs.delete(key);
    this.#servedAtMs.set(key, this.#dependencies.timer.nowMs());
    if (this.#servedAtMs.size <= MAX_SERVED_ENTRIES) return;
    const oldest = this.#servedAtMs.keys().next();
    if (!oldest.done) this.#servedAtMs.delete(oldest.value);
  }

  /** Content that was served recently can't be the cause of a crash. */
  #wasServedRecently({ team, method, path }: RequestContent): boolean {
    const atMs = this.#servedAtMs.get(`${team?.name} ${method} ${path}`);
    if (atMs === undefined) return false;
    return this.#dependencies.timer.nowMs() - atMs <
      LEDGER_SETTINGS.evidenceTtlMs;
  }

  async #reportIfCrashed(
    request: RequestContent,
    target: RegisteredTarget,
  ): Promise<void> {
    if (this.#wasServedRecently(request)) return;
    // The body of the request is dropped when the request ends.
    const digest = digestRequest(request);
    if (!await this.#dependencies.crashCheck.isDown(target)) return;
    this.#report(digest, target.incarnation);
  }

  #report(digest: string, targetIncarnation: string): void {
    const { self, blackboard } = this.#dependencies;
    const daemons = new Map(
      [...blackboard.peers.read(), self].map((daemon) => [daemon.name, daemon]),
    );
    const crash = { digest, target: targetIncarnation, reporter: self.name };
    const order = orderByRendezvous(digest, [...daemons.keys()]);
    for (let index = 0; index < REPORT_RECIPIENTS; index++) {
      const recipients = order.filter((_, position) =>
        position % REPORT_RECIPIENTS === index
      ).slice(0, MAX_REPORT_ATTEMPTS);
      void this.#reportToFirst(
        recipients.map((name) => daemons.get(name)!),
        crash,
      );
    }
  }

  /** Reports to the first of the recipients that can be reached. */
  async #reportToFirst(
    recipients: readonly PeerDaemon[],
    crash: Crash,
  ): Promise<void> {
    for (const recipient of recipients) {
      if (recipient.name === this.#dependencies.self.name) {
        return await this.#recordCrash(crash);
      }
      if (await this.#sendReport(recipient, crash)) return;
    }
  }

  protected override applyEntries(
    entries: readonly KeyValueEntry[],
    { isRestored }: PrefixChange,
  ): void {
    const keys = entries.map(({ key }) => key).filter(isDigestKey);
    const before = this.#published.keys;
    const deleted = this.#published.update(keys, isRestored);
    for (const key of deleted) this.#release(key.slice(PREFIX.length));
    // Records of a quarantine that has ended stay until they are deleted.
    for (const key of this.#published.keys) {
      if (!before.has(key)) this.#quarantine(key.slice(PREFIX.length));
    }
    this.#write();
  }

  #quarantine(digest: string): void {
    if (this.#quarantinedUntilMs.has(digest)) return;
    this.#published.readmit(PREFIX + digest);
    const untilMs = this.#dependencies.timer.nowMs() + QUARANTINE_TTL_MS;
    this.#quarantinedUntilMs.set(digest, untilMs);
    for (const oldest of this.#quarantinedUntilMs.keys()) {
      if (this.#quarantinedUntilMs.size <= MAX_QUARANTINED) break;
      this.#quarantinedUntilMs.delete(oldest);
    }
    this.#write();
  }

  #release(digest: string): void {
    this.#quarantinedUntilMs.delete(digest);
    this.#ledger.release(digest);
  }

  #write(): void {
    this.#writer.write(new Set(this.#quarantinedUntilMs.keys()));
  }

  /** Writes the digests that were quarantined while the store was away. */
  #updateStore(): void {
    const { blackboard, timer } = this.#dependencies;
    const nowMs = timer.nowMs();
    const ended = [...this.#quarantinedUntilMs].filter(([, untilMs]) =>
      nowMs >= untilMs
    );
    for (const [digest] of ended) this.#release(digest);
    if (ended.length > 0) this.#write();
    if (!blackboard.storeContact.read().isReachable) return;
    void this.#publishMissing();
  }

  #publishMissing(): Promise<void> {
    const digests = [...this.#quarantinedUntilMs.keys()];
    const wanted = new Map(digests.map((digest) => [PREFIX + digest, "{}"]));
    const { keys: published, revived } = this.#published;
    const obsolete = [...published, ...revived].filter((key) =>
      !wanted.has(key)
    );
    return this.#publisher.update(wanted, published, obsolete);
  }

  async #sendReport(peer: PeerDaemon, crash: Crash): Promise<boolean> {
    try {
      await callPeer(peer, CRASHED_METHOD, crash);
      return true;
    } catch (cause) {
      const error = (cause as Error).message;
      this.#dependencies.log.event("peerUnreachable", {
        peer: peer.name,
        error,
      });
      return false;
    }
  }

  async #recordCrash({ digest, target, reporter }: Crash): Promise<void> {
    const { timer, log } = this.#dependencies;
    const crashId = `${target}/${digest}`;
    const report = { crashId, target, reporter, digests: [digest] };
    const quarantined = this.#ledger.recordCrash(report, timer.nowMs());
    if (quarantined.length === 0) return;
    const crashes = this.#ledger.crashes(digest, timer.nowMs());
    log.event("requestQuarantined", { digest, crashes });
    this.#dependencies.relay.announce(QUARANTINED_TOPIC, { digest });
    this.#quarantine(digest);
    await this.#publishMissing();
  }
}

/** Whether the key names a digest; other daemons refuse anything else. */
function isDigestKey(key: string): boolean {
  return requestDigestSchema.safeParse(key.slice(PREFIX.length)).success;
}
