import {
  formatStepError,
  type InFlightAttempt,
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
import type { CrashObserver } from "../forwarding_types.ts";
import { digestRequest, type RequestContent } from "../request_digest.ts";
import { callPeer } from "./call_peer.ts";
import type { CrashCheck } from "./crash_check.ts";
import { FollowingController } from "./following_controller.ts";

const PREFIX = "coltsfootford/quarantine/";
const CRASHED_METHOD = "quarantine.crashed";
/** The platform grants leases of at most ten minutes. */
const QUARANTINE_TTL_MS = 600_000;
/** Daemons that receive each crash report, so that one may be unavailable. */
const REPORT_RECIPIENTS = 2;
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

/** Dependencies of a `QuarantineController`. */
export interface QuarantineDependencies {
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  readonly store: KeyValueClient;
  readonly rpc: JSONRPCServer;
  readonly crashCheck: CrashCheck;
  readonly timer: TimerService;
  readonly log: Logger;
}

/**
 * Writes `quarantine`: digests of requests that crash the targets that execute
 * them. Rendezvous hashing of the digest selects the few daemons that receive
 * its crash reports. A daemon that has received enough of them writes the
 * digest to the store, from which all daemons read it.
 */
export class QuarantineController extends FollowingController
  implements CrashObserver {
  override readonly name = "quarantine";
  readonly #dependencies: QuarantineDependencies;
  readonly #ledger = new PoisonLedger(LEDGER_SETTINGS);
  readonly #servedAtMs = new Map<string, number>();
  readonly #writer;

  constructor(dependencies: QuarantineDependencies) {
    super(PREFIX);
    this.#dependencies = dependencies;
    this.#writer = dependencies.blackboard.quarantine.claimWriter(this.name);
    dependencies.rpc.addMethod(CRASHED_METHOD, async (params: unknown) => {
      await this.#recordCrash(CrashSchema.parse(params));
      return {};
    });
  }

  override dumpState(): unknown {
    return this.#ledger.list();
  }

  onAttemptBroken(
    request: RequestContent,
    target: RegisteredTarget,
    { eventsReceived }: InFlightAttempt,
  ): void {
    if (eventsReceived > 0) return;
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
    if (!await this.#dependencies.crashCheck.isDown(target)) return;
    this.#report(digestRequest(request), target.incarnation);
  }

  #report(digest: string, targetIncarnation: string): void {
    const { self, blackboard } = this.#dependencies;
    const daemons = new Map(
      [...blackboard.peers.read(), self].map((daemon) => [daemon.name, daemon]),
    );
    const crash = { digest, target: targetIncarnation, reporter: self.name };
    const order = orderByRendezvous(digest, [...daemons.keys()]);
    for (const name of order.slice(0, REPORT_RECIPIENTS)) {
      if (name === self.name) void this.#recordCrash(crash);
      else void this.#sendReport(daemons.get(name)!, crash);
    }
  }

  protected override applyEntries(entries: readonly KeyValueEntry[]): void {
    const digests = entries.map(({ key }) => key.slice(PREFIX.length));
    this.#writer.write(new Set(digests));
  }

  async #sendReport(peer: PeerDaemon, crash: Crash): Promise<void> {
    try {
      await callPeer(peer, CRASHED_METHOD, crash);
    } catch (cause) {
      const error = (cause as Error).message;
      this.#dependencies.log.event("peerUnreachable", {
        peer: peer.name,
        error,
      });
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
    await this.#publish(digest);
  }

  async #publish(digest: string): Promise<void> {
    const { store, log } = this.#dependencies;
    const lease = await store.grantLease(QUARANTINE_TTL_MS);
    const put = await lease.asyncAndThen(({ leaseId }) =>
      new ResultAsync(store.put(PREFIX + digest, "{}", leaseId))
    );
    if (put.isOk()) return;
    // The crash count stays, so the next crash triggers another publication.
    this.#ledger.release(digest);
    log.event("quarantineFailed", {
      digest,
      error: formatStepError(put.error),
    });
  }
}
