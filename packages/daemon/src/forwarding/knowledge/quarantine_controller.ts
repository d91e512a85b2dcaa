import {
  formatStepError,
  orderByRendezvous,
  PoisonLedger,
  type PoisonSettings,
  type RegisteredTarget,
  requestDigestSchema,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient, KeyValueEntry } from "@coltsfootford/key-value";
import type { JSONRPCServer } from "json-rpc-2.0";
import { ResultAsync } from "neverthrow";
import { z } from "zod";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import type { CrashWitness } from "../forwarding_types.ts";
import { digestRequest, type RequestContent } from "../request_digest.ts";
import { callPeer } from "./call_peer.ts";
import { CrashCheck } from "./crash_check.ts";
import { FollowingController } from "./following_controller.ts";

const PREFIX = "coltsfootford/quarantine/";
const CRASHED_METHOD = "quarantine.crashed";
/** The longest lease that the platform grants: ten minutes. */
const QUARANTINE_TTL_MS = 600_000;
/** Daemons that are told of a crash, so that one of them may be away. */
const LEDGER_COPIES = 2;
/** Most requests without a body that are remembered as served. */
const MAX_SERVED = 2_000;

/**
 * Three targets may break off for other reasons while they run the same
 * content, so it is refused after the third.
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

/** The parts of the controller. */
export interface QuarantineParts {
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  readonly store: KeyValueClient;
  readonly rpc: JSONRPCServer;
  readonly timer: TimerService;
  readonly log: Logger;
}

/**
 * Writes `quarantine`: requests whose content crashes the targets that run it.
 * Crashes of one content are told to the same few daemons, by rendezvous
 * hashing; the one that counts enough of them writes the digest to the store,
 * from where all daemons learn it.
 */
export class QuarantineController extends FollowingController
  implements CrashWitness {
  override readonly name = "quarantine";
  readonly #parts: QuarantineParts;
  readonly #ledger = new PoisonLedger(LEDGER_SETTINGS);
  readonly #crashCheck: CrashCheck;
  readonly #servedAtMs = new Map<string, number>();
  readonly #writer;

  constructor(parts: QuarantineParts) {
    super(PREFIX);
    this.#parts = parts;
    this.#crashCheck = new CrashCheck(parts.timer);
    this.#writer = parts.blackboard.quarantine.claimWriter(this.name);
    parts.rpc.addMethod(CRASHED_METHOD, async (params: unknown) => {
      await this.#count(CrashSchema.parse(params));
      return {};
    });
  }

  override dumpState(): unknown {
    return this.#ledger.list();
  }

  noteBroken(request: RequestContent, target: RegisteredTarget): void {
    void this.#reportIfCrashed(request, target);
  }

  /** Only requests without a body are alike often enough to be remembered. */
  noteServed(request: RequestContent): void {
    if (request.body.length > 0) return;
    const name = `${request.team?.name} ${request.method} ${request.path}`;
    this.#servedAtMs.delete(name);
    this.#servedAtMs.set(name, this.#parts.timer.nowMs());
    if (this.#servedAtMs.size <= MAX_SERVED) return;
    const oldest = this.#servedAtMs.keys().next();
    if (!oldest.done) this.#servedAtMs.delete(oldest.value);
  }

  /** Content that was served lately can't be what crashed the target. */
  #wasServedLately({ team, method, path }: RequestContent): boolean {
    const atMs = this.#servedAtMs.get(`${team?.name} ${method} ${path}`);
    if (atMs === undefined) return false;
    return this.#parts.timer.nowMs() - atMs < LEDGER_SETTINGS.evidenceTtlMs;
  }

  async #reportIfCrashed(
    request: RequestContent,
    target: RegisteredTarget,
  ): Promise<void> {
    if (this.#wasServedLately(request)) return;
    if (!await this.#crashCheck.isDown(target)) return;
    this.#report(digestRequest(request), target.incarnation);
  }

  #report(digest: string, targetIncarnation: string): void {
    const { self, blackboard: blackboard } = this.#parts;
    const daemons = new Map(
      [...blackboard.peers.read(), self].map((one) => [one.name, one]),
    );
    const crash = { digest, target: targetIncarnation, reporter: self.name };
    const order = orderByRendezvous(digest, [...daemons.keys()]);
    for (const name of order.slice(0, LEDGER_COPIES)) {
      if (name === self.name) void this.#count(crash);
      else void this.#tell(daemons.get(name)!, crash);
    }
  }

  protected override applyEntries(entries: readonly KeyValueEntry[]): void {
    const digests = entries.map(({ key }) => key.slice(PREFIX.length));
    this.#writer.write(new Set(digests));
  }

  async #tell(peer: PeerDaemon, crash: Crash): Promise<void> {
    try {
      await callPeer(peer, CRASHED_METHOD, crash);
    } catch (cause) {
      const error = (cause as Error).message;
      this.#parts.log.event("peerUnreachable", { peer: peer.name, error });
    }
  }

  async #count({ digest, target, reporter }: Crash): Promise<void> {
    const { timer, log } = this.#parts;
    const crashId = `${target}/${digest}`;
    const report = { crashId, target, reporter, digests: [digest] };
    const refused = this.#ledger.noteCrash(report, timer.nowMs());
    if (refused.length === 0) return;
    const crashes = this.#ledger.crashes(digest, timer.nowMs());
    log.event("requestQuarantined", { digest, crashes });
    await this.#publish(digest);
  }

  async #publish(digest: string): Promise<void> {
    const { store, log } = this.#parts;
    const lease = await store.grantLease(QUARANTINE_TTL_MS);
    const put = await lease.asyncAndThen(({ leaseId }) =>
      new ResultAsync(store.put(PREFIX + digest, "{}", leaseId))
    );
    if (put.isOk()) return;
    // The count stays, so the next crash of the content publishes it again.
    this.#ledger.release(digest);
    log.event("quarantineFailed", {
      digest,
      error: formatStepError(put.error),
    });
  }
}
