import {
  type CancelTimer,
  type CrashReport,
  MAX_DIGESTS_PER_REPORT,
  type PoisonDecision,
  PoisonLedger,
  type PoisonSettings,
  type QuarantineNotice,
  type SuspectPrompt,
  type TimerService,
} from "@coltsfootford/core";
import type { TargetView } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import type { CrashDetector } from "./crash_detector.ts";
import { MessageQuarantine } from "./message_quarantine.ts";
import type { PoisonPeers } from "./poison_peers.ts";
import type { QuarantineStore } from "./quarantine_store.ts";
import type { RequestIdentity } from "./request_digest.ts";
import type { SuspectIsolation } from "./suspect_isolation.ts";

/** Period at which the platform's quarantine is read. */
const SYNC_PERIOD_MS = 30_000;

/** The dependencies of a `PoisonController`. */
export interface PoisonControllerDependencies {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly peers: PoisonPeers;
  readonly store: QuarantineStore;
  readonly detector: CrashDetector;
  readonly isolation: SuspectIsolation;
  readonly settings: PoisonSettings;
}

/** A request that executes on a target. */
export interface ExecutingRequest extends RequestIdentity {
  readonly requestId: string;
  /** Whether no other suspect executes on the target. */
  readonly isIsolated: boolean;
  /** Tokens that the target has sent for the request. */
  readonly receivedTokens: () => number;
}

/** Tracks a request that executes on a target. */
export interface TrackedRequest {
  /** Ends the tracking after a response: the request crashed no target. */
  recordCompletion(): void;
  /**
   * Ends the tracking after a lost connection. Resolves with whether the target
   * crashed; after a crash, only once the crash was reported to the peers.
   */
  recordConnectionLoss(): Promise<boolean>;
  /** Ends the tracking if the outcome is no evidence about the request. */
  end(): void;
}

interface CrashCheck {
  readonly interrupted: Set<ExecutingRequest>;
  /** Whether the target crashed. */
  readonly done: Promise<boolean>;
}

/**
 * Detects the requests that crash targets and rejects them. The controller
 * reads `daemons` through its messages to peers, and writes no field.
 */
export class PoisonController extends Controller {
  override readonly name = "poison";
  readonly #dependencies: PoisonControllerDependencies;
  readonly #ledger: PoisonLedger;
  readonly #messages: MessageQuarantine;
  readonly #inFlight = new Map<string, Set<ExecutingRequest>>();
  readonly #crashChecks = new Map<string, CrashCheck>();
  /** Digests that are known to be stored by the platform. */
  readonly #storedDigests = new Set<string>();
  /** Notices that the platform has not stored yet, by digest. */
  readonly #pending = new Map<string, QuarantineNotice>();
  #cancelTimer: CancelTimer | undefined;

  constructor(dependencies: PoisonControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#ledger = new PoisonLedger(dependencies.settings);
    this.#messages = new MessageQuarantine(dependencies);
    dependencies.peers.handle({
      onCrash: (report) => this.#recordCrash(report),
      onCleared: ({ digests }) => {
        for (const digest of digests) this.#ledger.recordCompletion(digest);
      },
      onQuarantine: (notice) => {
        this.#ledger.quarantine(notice.digest, notice.crashes);
      },
    });
  }

  override start(): Promise<void> {
    const { timer } = this.#dependencies;
    this.#cancelTimer = timer.every(
      SYNC_PERIOD_MS,
      () => void this.#syncQuarantine(),
    );
    void this.#syncQuarantine();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancelTimer?.();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { ...this.#ledger.list(), messages: this.#messages.list() };
  }

  /** Isolates suspect requests from one another. */
  get isolation(): SuspectIsolation {
    return this.#dependencies.isolation;
  }

  getDecision({ digest, messages }: RequestIdentity): PoisonDecision {
    const nowMs = this.#dependencies.timer.nowMs();
    const decision = this.#ledger.classify(digest, nowMs);
    if (decision === "quarantined") return decision;
    const ofMessages = this.#messages.classify(messages);
    return ofMessages === "clear" ? decision : ofMessages;
  }

  /** Marks a request as sent to a target. */
  trackRequest(
    target: TargetView,
    request: ExecutingRequest,
  ): TrackedRequest {
    const { digest, messages } = request;
    const inFlight = this.#inFlight.get(target.name) ?? new Set();
    this.#inFlight.set(target.name, inFlight.add(request));
    void this.#dependencies.detector.recordIncarnation(target);
    const end = () => {
      inFlight.delete(request);
    };
    return {
      end,
      recordCompletion: () => {
        end();
        this.#messages.recordSound(messages);
        if (!this.#ledger.recordCompletion(digest)) return;
        void this.#dependencies.peers.broadcastClearance({ digests: [digest] });
      },
      recordConnectionLoss: async () => {
        // The check collects the requests in flight on the target, so it must
        // start before this request is removed.
        const check = this.#checkCrash(target);
        check.interrupted.add(request);
        end();
        return await check.done;
      },
    };
  }

  #checkCrash(target: TargetView): CrashCheck {
    const pending = this.#crashChecks.get(target.name);
    if (pending) return pending;
    const interrupted = new Set(this.#inFlight.get(target.name) ?? []);
    const done = this.#confirmCrash(target, interrupted);
    const check: CrashCheck = { interrupted, done };
    this.#crashChecks.set(target.name, check);
    return check;
  }

  async #confirmCrash(
    target: TargetView,
    interrupted: ReadonlySet<ExecutingRequest>,
  ): Promise<boolean> {
    const crashId = await this.#dependencies.detector.detectCrash(target);
    this.#crashChecks.delete(target.name);
    if (crashId === undefined) return false;
    const { vm: reporter, peers, logger } = this.#dependencies;
    const digestList = [...new Set([...interrupted].map((it) => it.digest))];
    logger.event("targetCrashed", { crashId, requests: digestList.length });
    const broadcasts: Promise<void>[] = [
      this.#messages.reportCrash(crashId, this.#listSuspects(interrupted)),
    ];
    for (
      let first = 0;
      first < digestList.length;
      first += MAX_DIGESTS_PER_REPORT
    ) {
      const report: CrashReport = {
        crashId,
        target: target.name,
        reporter,
        digests: digestList.slice(first, first + MAX_DIGESTS_PER_REPORT),
      };
      this.#recordCrash(report);
      broadcasts.push(peers.broadcastCrash(report));
    }
    await Promise.all(broadcasts);
    return true;
  }

  /**
   * An isolated request runs beside no other suspect, so the crash is taken for
   * one of its own.
   */
  #listSuspects(interrupted: ReadonlySet<ExecutingRequest>): SuspectPrompt[] {
    return [...interrupted].map(({ messages, isIsolated }) => ({
      parts: this.#messages.listUnproven(messages),
      hasResponse: isIsolated,
      isIsolated,
    }));
  }

  #recordCrash(report: CrashReport): void {
    const { timer, availabilityZone, logger, peers } = this.#dependencies;
    const nowMs = timer.nowMs();
    for (const digest of this.#ledger.recordCrash(report, nowMs)) {
      const notice: QuarantineNotice = {
        digest,
        crashes: this.#ledger.crashes(digest, nowMs),
        availabilityZone,
        quarantinedAtMs: Math.round(timer.wallClockMs()),
      };
      logger.event("requestQuarantined", { digest, crashes: notice.crashes });
      void peers.broadcastQuarantine(notice);
      this.#pending.set(digest, notice);
      void this.#store(notice);
    }
  }

  async #store(notice: QuarantineNotice): Promise<void> {
    if (!await this.#dependencies.store.put(notice)) return;
    this.#pending.delete(notice.digest);
    this.#storedDigests.add(notice.digest);
  }

  /**
   * Writes pending notices to the platform and reads its quarantine. Requests
   * whose entries were deleted by an operator are served again.
   */
  async #syncQuarantine(): Promise<void> {
    for (const notice of [...this.#pending.values()]) await this.#store(notice);
    const notices = await this.#dependencies.store.list();
    if (!notices) return;
    const listed = new Set(notices.map((notice) => notice.digest));
    for (const notice of notices) {
      this.#ledger.quarantine(notice.digest, notice.crashes);
      this.#storedDigests.add(notice.digest);
    }
    for (const digest of this.#storedDigests) {
      if (listed.has(digest)) continue;
      this.#storedDigests.delete(digest);
      this.#ledger.release(digest);
    }
  }
}
