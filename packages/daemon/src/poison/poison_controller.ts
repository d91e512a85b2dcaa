import {
  type CancelTimer,
  type CrashReport,
  MAX_DIGESTS_PER_REPORT,
  type PoisonDecision,
  PoisonLedger,
  type PoisonSettings,
  type QuarantineNotice,
  type TimerService,
} from "@coltsfootford/core";
import type { TargetView } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import type { CrashDetector } from "./crash_detector.ts";
import type { PoisonPeers } from "./poison_peers.ts";
import type { QuarantineStore } from "./quarantine_store.ts";
import type { SuspectIsolation } from "./suspect_isolation.ts";

/** How often the platform's quarantine is read. */
const READ_PERIOD_MS = 30_000;

/** Parts of the daemon that the controller uses. */
export interface PoisonControllerParts {
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

/** A request that is running on a target. */
export interface RunningMark {
  /** Ends the mark after an answer: the request crashes no target. */
  endCompleted(): void;
  /**
   * Ends the mark after a lost connection. Resolves once it is known whether
   * the target crashed and, if so, once the peers have been told.
   */
  endLost(): Promise<boolean>;
  /** Ends the mark where the end says nothing about the request. */
  end(): void;
}

interface CrashCheck {
  readonly digests: Set<string>;
  /** Whether the target crashed. */
  readonly done: Promise<boolean>;
}

/**
 * Finds the requests that crash targets and refuses them. It reads `daemons`
 * through its messages to peers, and writes no field.
 */
export class PoisonController extends Controller {
  override readonly name = "poison";
  readonly #parts: PoisonControllerParts;
  readonly #ledger: PoisonLedger;
  readonly #running = new Map<string, Map<string, string>>();
  readonly #checks = new Map<string, CrashCheck>();
  /** Digests that the platform is known to hold. */
  readonly #kept = new Set<string>();
  readonly #unkept = new Map<string, QuarantineNotice>();
  #cancelTimer: CancelTimer | undefined;

  constructor(parts: PoisonControllerParts) {
    super();
    this.#parts = parts;
    this.#ledger = new PoisonLedger(parts.settings);
    parts.peers.handle({
      onCrash: (report) => this.#noteCrash(report),
      onCleared: ({ digests }) => {
        for (const digest of digests) this.#ledger.noteCompleted(digest);
      },
      onQuarantine: (notice) => {
        this.#ledger.quarantine(notice.digest, notice.crashes);
      },
    });
  }

  override start(): Promise<void> {
    const { timer } = this.#parts;
    this.#cancelTimer = timer.every(READ_PERIOD_MS, () => void this.#sync());
    void this.#sync();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancelTimer?.();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return this.#ledger.list();
  }

  /** Keeps suspects apart from one another. */
  get isolation(): SuspectIsolation {
    return this.#parts.isolation;
  }

  judge(digest: string): PoisonDecision {
    return this.#ledger.judge(digest, this.#parts.timer.nowMs());
  }

  /** Marks a request as sent to a target. */
  begin(target: TargetView, requestId: string, digest: string): RunningMark {
    const running = this.#running.get(target.name) ?? new Map();
    this.#running.set(target.name, running.set(requestId, digest));
    void this.#parts.detector.learn(target);
    const end = () => {
      running.delete(requestId);
    };
    return {
      end,
      endCompleted: () => {
        end();
        if (!this.#ledger.noteCompleted(digest)) return;
        void this.#parts.peers.spreadClearance({ digests: [digest] });
      },
      endLost: async () => {
        // The check collects the requests that run on the target, so it must
        // begin before this one is taken off.
        const check = this.#checkCrash(target);
        check.digests.add(digest);
        end();
        return await check.done;
      },
    };
  }

  #checkCrash(target: TargetView): CrashCheck {
    const present = this.#checks.get(target.name);
    if (present) return present;
    const running = this.#running.get(target.name)?.values() ?? [];
    const digests = new Set<string>(running);
    const done = this.#confirmCrash(target, digests);
    const check: CrashCheck = { digests, done };
    this.#checks.set(target.name, check);
    return check;
  }

  async #confirmCrash(
    target: TargetView,
    digests: ReadonlySet<string>,
  ): Promise<boolean> {
    const crashId = await this.#parts.detector.findCrash(target);
    this.#checks.delete(target.name);
    if (crashId === undefined) return false;
    const { vm: reporter, peers, logger } = this.#parts;
    const all = [...digests];
    logger.event("targetCrashed", { crashId, requests: all.length });
    const spreading: Promise<void>[] = [];
    for (let first = 0; first < all.length; first += MAX_DIGESTS_PER_REPORT) {
      const report: CrashReport = {
        crashId,
        target: target.name,
        reporter,
        digests: all.slice(first, first + MAX_DIGESTS_PER_REPORT),
      };
      this.#noteCrash(report);
      spreading.push(peers.spreadCrash(report));
    }
    await Promise.all(spreading);
    return true;
  }

  #noteCrash(report: CrashReport): void {
    const { timer, availabilityZone, logger, peers } = this.#parts;
    const nowMs = timer.nowMs();
    for (const digest of this.#ledger.noteCrash(report, nowMs)) {
      const notice: QuarantineNotice = {
        digest,
        crashes: this.#ledger.crashes(digest, nowMs),
        availabilityZone,
        quarantinedAtMs: Math.round(timer.wallClockMs()),
      };
      logger.event("requestQuarantined", { digest, crashes: notice.crashes });
      void peers.spreadQuarantine(notice);
      this.#unkept.set(digest, notice);
      void this.#keep(notice);
    }
  }

  async #keep(notice: QuarantineNotice): Promise<void> {
    if (!await this.#parts.store.put(notice)) return;
    this.#unkept.delete(notice.digest);
    this.#kept.add(notice.digest);
  }

  /** Takes over what the platform holds; what operators deleted is served. */
  async #sync(): Promise<void> {
    for (const notice of [...this.#unkept.values()]) await this.#keep(notice);
    const notices = await this.#parts.store.list();
    if (!notices) return;
    const present = new Set(notices.map((notice) => notice.digest));
    for (const notice of notices) {
      this.#ledger.quarantine(notice.digest, notice.crashes);
      this.#kept.add(notice.digest);
    }
    for (const digest of this.#kept) {
      if (present.has(digest)) continue;
      this.#kept.delete(digest);
      this.#ledger.release(digest);
    }
  }
}
