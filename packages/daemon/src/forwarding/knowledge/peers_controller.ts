import {
  formatStepError,
  ListedPeers,
  type TimerService,
} from "@coltsfootford/core";
import type {
  KeyValueClient,
  KeyValueEntry,
  KeyValueResult,
  TxnResponse,
} from "@coltsfootford/key-value";
import { z } from "zod";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import { DecodedEntries } from "./decoded_entries.ts";
import { FollowedPrefix, type PrefixChange } from "./followed_prefix.ts";

const PREFIX = "coltsfootford/daemons/";
/** A crashed daemon's entry expires this long after the last renewal. */
const LEASE_TTL_MS = 10_000;
/** Three renewals fit into the lease's TTL, so that two may be lost. */
const RENEW_PERIOD_MS = 3_000;

const PeerSchema = z.object({
  name: z.string(),
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
  availabilityZone: z.string().optional(),
});

/** The lease of this daemon's entry; its id means nothing in another era. */
interface OwnLease {
  readonly id: string;
  readonly era: number;
}

/** Writes `peers`, and registers this daemon in the store under a lease. */
export class PeersController extends Controller {
  override readonly name = "peers";
  readonly #self: PeerDaemon;
  readonly #store: KeyValueClient;
  readonly #timer: TimerService;
  readonly #log: Logger;
  readonly #writer;
  readonly followed: FollowedPrefix;
  readonly #entries = new DecodedEntries((key, text) =>
    this.#decodeEntry(key, text)
  );
  readonly #listed = new ListedPeers<PeerDaemon>(LEASE_TTL_MS);
  #lease: OwnLease | undefined;
  #isRegistering = false;
  #cancelExpiry: () => void = () => {};
  #cancel: () => void = () => {};

  constructor(
    self: PeerDaemon,
    blackboard: ForwardingBlackboard,
    store: KeyValueClient,
    timer: TimerService,
    log: Logger,
  ) {
    super();
    this.#self = self;
    this.#store = store;
    this.#timer = timer;
    this.#log = log;
    this.#writer = blackboard.peers.claimWriter(this.name);
    this.followed = new FollowedPrefix({
      prefix: PREFIX,
      onChange: (entries, change) => this.#applyEntries(entries, change),
    });
  }

  override start(): Promise<void> {
    void this.#register();
    this.#cancel = this.#timer.every(
      RENEW_PERIOD_MS,
      () => void this.#renew(),
    );
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.#cancel();
    this.#cancelExpiry();
    // In another era the id may be that of another daemon's lease.
    if (!this.#lease || this.#isOfEarlierEra(this.#lease)) return;
    const revoked = await this.#store.revokeLease(this.#lease.id);
    if (revoked.isErr()) this.#logFailure(formatStepError(revoked.error));
  }

  override dumpState(): unknown {
    return { leaseId: this.#lease?.id ?? null, era: this.#lease?.era ?? null };
  }

  async #renew(): Promise<void> {
    const own = this.#lease;
    if (!own || this.#isOfEarlierEra(own)) return await this.#register();
    const lease = await this.#store.keepLeaseAlive(own.id);
    if (lease.isErr()) return this.#logFailure(formatStepError(lease.error));
    if (lease.value.ttlMs > 0 && !this.#isOfEarlierEra(own)) {
      return await this.#restoreEntry(own);
    }
    this.#lease = undefined;
    await this.#register();
  }

  /**
   * Writes the own entry again if it is missing or under another lease. A write
   * whose response was lost may be executed late, and would replace the entry by
   * one under a lease that nobody renews.
   */
  async #restoreEntry({ id }: OwnLease): Promise<void> {
    const { entries } = this.followed.snapshot();
    const entry = entries.find(({ key }) => key === this.#ownKey);
    if (entry?.leaseId === id) return;
    const put = await this.#putEntry(id);
    if (put.isErr()) this.#logFailure(formatStepError(put.error));
  }

  get #ownKey(): string {
    return PREFIX + this.#self.name;
  }

  #putEntry(leaseId: string): KeyValueResult<TxnResponse> {
    return this.#store.put(this.#ownKey, JSON.stringify(this.#self), leaseId);
  }

  /** Whether the store was restored after it granted the lease. */
  #isOfEarlierEra({ era }: OwnLease): boolean {
    return this.#store.history.latest.era !== era;
  }

  /** Two registrations at once could leave the entry under the wrong lease. */
  async #register(): Promise<void> {
    if (this.#isRegistering) return;
    this.#isRegistering = true;
    await this.#writeEntry();
    this.#isRegistering = false;
  }

  async #writeEntry(): Promise<void> {
    const { era } = this.#store.history.latest;
    const lease = await this.#store.grantLease(LEASE_TTL_MS);
    if (lease.isErr()) return this.#logFailure(formatStepError(lease.error));
    const { leaseId } = lease.value;
    const put = await this.#putEntry(leaseId);
    if (put.isErr()) return this.#logFailure(formatStepError(put.error));
    this.#lease = { id: leaseId, era };
  }

  #applyEntries(
    entries: readonly KeyValueEntry[],
    { isRestored }: PrefixChange,
  ): void {
    const nowMs = this.#timer.nowMs();
    const peers = this.#entries.update(entries)
      .filter(({ name }) => name !== this.#self.name);
    this.#listed.update(peers, nowMs, isRestored);
    this.#write();
    if (!isRestored) return;
    this.#cancelExpiry();
    this.#cancelExpiry = this.#timer.after(LEASE_TTL_MS, () => this.#write());
  }

  #write(): void {
    this.#writer.write(this.#listed.list(this.#timer.nowMs()));
  }

  #decodeEntry(key: string, value: string): PeerDaemon | undefined {
    const peer = PeerSchema.safeParse(parseJson(value));
    if (peer.success) return peer.data;
    const error = peer.error.message;
    this.#log.event("knowledgeRefused", { key, error });
    return undefined;
  }

  #logFailure(error: string): void {
    this.#log.event("registrationFailed", { error });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The schema rejects undefined, and the rejection is logged.
    return undefined;
  }
}
