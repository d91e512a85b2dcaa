import { formatStepError, type TimerService } from "@coltsfootford/core";
import type { KeyValueClient, KeyValueEntry } from "@coltsfootford/key-value";
import { z } from "zod";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import { FollowedPrefix } from "./followed_prefix.ts";

const PREFIX = "coltsfootford/daemons/";
/** A crashed daemon's entry expires this long after the last renewal. */
const LEASE_TTL_MS = 10_000;
/** Three renewals fit into the lease's TTL, so that two may be lost. */
const RENEW_PERIOD_MS = 3_000;

const PeerSchema = z.object({
  name: z.string(),
  host: z.string(),
  port: z.number().int(),
  availabilityZone: z.string().optional(),
});

/** Writes `peers`, and registers this daemon in the store under a lease. */
export class PeersController extends Controller {
  override readonly name = "peers";
  readonly #self: PeerDaemon;
  readonly #store: KeyValueClient;
  readonly #timer: TimerService;
  readonly #log: Logger;
  readonly #writer;
  readonly followed: FollowedPrefix;
  #leaseId: string | undefined;
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
      onChange: (entries) => this.#writer.write(this.#decode(entries)),
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
    if (this.#leaseId === undefined) return;
    const revoked = await this.#store.revokeLease(this.#leaseId);
    if (revoked.isErr()) this.#logFailure(formatStepError(revoked.error));
  }

  override dumpState(): unknown {
    return { leaseId: this.#leaseId ?? null };
  }

  async #renew(): Promise<void> {
    if (this.#leaseId === undefined) return await this.#register();
    const lease = await this.#store.keepLeaseAlive(this.#leaseId);
    if (lease.isErr()) return this.#logFailure(formatStepError(lease.error));
    if (lease.value.ttlMs > 0) return;
    this.#leaseId = undefined;
    await this.#register();
  }

  async #register(): Promise<void> {
    const lease = await this.#store.grantLease(LEASE_TTL_MS);
    if (lease.isErr()) return this.#logFailure(formatStepError(lease.error));
    const { leaseId } = lease.value;
    const key = PREFIX + this.#self.name;
    const put = await this.#store.put(key, JSON.stringify(this.#self), leaseId);
    if (put.isErr()) return this.#logFailure(formatStepError(put.error));
    this.#leaseId = leaseId;
  }

  #decode(entries: readonly KeyValueEntry[]): PeerDaemon[] {
    const peers: PeerDaemon[] = [];
    for (const { key, value } of entries) {
      const peer = PeerSchema.safeParse(parseJson(value));
      if (!peer.success) {
        const error = peer.error.message;
        this.#log.event("knowledgeRefused", { key, error });
      } else if (peer.data.name !== this.#self.name) peers.push(peer.data);
    }
    return peers;
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
