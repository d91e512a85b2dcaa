import {
  CrashReportLimit,
  findQuarantinedParts,
  hash32,
  type PromptCrashReport,
  PromptPartLedger,
  type QuarantinedParts,
  sharedParts,
  type SoundPart,
  type SuspectPrompt,
} from "@coltsfootford/core";
import type { WorkloadRequest } from "../load_bound/workload.ts";
import type { RandomSource } from "../load/index.ts";
import type { EventHeap } from "../replay/index.ts";
import type { FleetNetwork } from "./fleet_network.ts";

/** Time from the arrival of a request to the beginning of its response. */
const MIN_FIRST_EVENT_MS = 40;
const MEAN_QUEUE_MS = 80;
const EVENT_MS = 30;
/** Time for which a crashed target is down. */
const DOWN_MS = 3_000;
/** Time in which a daemon confirms that a target is down. */
const CONFIRM_MS = 60;
const MAX_SENDS = 2;

/** Called when a request with a deadly part reaches a target. */
export type OnDeadlyArrival = (daemon: number, sentAtMs: number) => void;

interface RunningRequest {
  readonly daemon: ModelDaemon;
  readonly request: WorkloadRequest;
  readonly attempts: number;
  hasBegun: boolean;
}

interface ModelTarget {
  readonly index: number;
  incarnation: number;
  upAtMs: number;
  readonly running: Set<RunningRequest>;
}

/** What one daemon knows, as in the production controller. */
class ModelDaemon {
  readonly index: number;
  ledger = new PromptPartLedger();
  reportLimit = new CrashReportLimit();
  readonly unconfirmed = new Map<string, SuspectPrompt[]>();

  constructor(index: number) {
    this.index = index;
  }

  quarantinedParts(nowMs: number): (readonly string[])[] {
    return this.ledger.quarantined(nowMs).map(({ parts }) => parts);
  }

  /** Forgets everything, like a process that starts. */
  restart(): void {
    this.ledger = new PromptPartLedger();
    this.reportLimit = new CrashReportLimit();
    this.unconfirmed.clear();
  }
}

/**
 * Daemons that find deadly prompt parts with the production decision code,
 * before targets that crash when they begin to respond to one. The store is
 * away: all knowledge comes from announcements and from peers.
 */
export class CrashingFleet {
  readonly daemons: readonly ModelDaemon[];
  crashes = 0;
  soundRejected = 0;
  soundSent = 0;
  readonly #targets: readonly ModelTarget[];
  readonly #eventsBeforeCrash: number;
  readonly #heap: EventHeap;
  readonly #random: RandomSource;
  readonly #network: FleetNetwork;
  readonly #onDeadlyArrival: OnDeadlyArrival;

  constructor(
    size: {
      readonly daemons: number;
      readonly targets: number;
      readonly eventsBeforeCrash: number;
    },
    heap: EventHeap,
    random: RandomSource,
    network: FleetNetwork,
    onDeadlyArrival: OnDeadlyArrival,
  ) {
    this.#eventsBeforeCrash = size.eventsBeforeCrash;
    this.#heap = heap;
    this.#random = random;
    this.#network = network;
    this.#onDeadlyArrival = onDeadlyArrival;
    this.daemons = Array.from(
      { length: size.daemons },
      (_, index) => new ModelDaemon(index),
    );
    this.#targets = Array.from({ length: size.targets }, (_, index) => ({
      index,
      incarnation: 0,
      upAtMs: 0,
      running: new Set<RunningRequest>(),
    }));
  }

  /** Sends a request through a daemon that is up. */
  send(daemonIndex: number, request: WorkloadRequest, attempts = 1): void {
    if (this.#network.down.has(daemonIndex)) return;
    const daemon = this.daemons[daemonIndex]!;
    const nowMs = this.#heap.nowMs;
    const isDeadly = isDeadlyRequest(request);
    const quarantined = daemon.quarantinedParts(nowMs);
    if (!isDeadly) this.soundSent += 1;
    if (findQuarantinedParts(request.prompt, quarantined)) {
      if (!isDeadly) this.soundRejected += 1;
      return;
    }
    const target = this.#choose(request);
    if (!target) return;
    if (isDeadly) this.#onDeadlyArrival(daemonIndex, nowMs);
    const running = { daemon, request, attempts, hasBegun: false };
    target.running.add(running);
    const { incarnation } = target;
    const beginMs = MIN_FIRST_EVENT_MS +
      this.#random.exponential(MEAN_QUEUE_MS);
    this.#heap.after(beginMs, () => {
      if (target.incarnation !== incarnation) return;
      this.#begin(target, running);
    });
  }

  /** Crashes a target for a reason of its own. */
  crashTarget(index: number): void {
    const target = this.#targets[index]!;
    if (this.#heap.nowMs >= target.upAtMs) this.#crash(target, undefined);
  }

  /** A daemon asks a random peer for what it missed, until one answers. */
  catchUp(daemonIndex: number): void {
    const daemon = this.daemons[daemonIndex]!;
    const peer = this.#random.index(this.daemons.length);
    const nowMs = this.#heap.nowMs;
    const canAnswer = peer !== daemonIndex &&
      this.#network.canReach(daemonIndex, peer);
    if (!canAnswer) {
      this.#heap.after(500, () => this.catchUp(daemonIndex));
      return;
    }
    const facts = this.daemons[peer]!.ledger.quarantined(nowMs);
    for (const fact of facts) daemon.ledger.recordQuarantine(fact, nowMs);
  }

  #choose({ prompt }: WorkloadRequest): ModelTarget | undefined {
    const nowMs = this.#heap.nowMs;
    const up = this.#targets.filter(({ upAtMs }) => nowMs >= upAtMs);
    if (up.length === 0) return undefined;
    const subject = sharedParts(prompt).at(-1)?.id ?? "";
    return up[hash32(subject) % up.length];
  }

  #begin(target: ModelTarget, running: RunningRequest): void {
    const { request, daemon } = running;
    const { incarnation } = target;
    if (isDeadlyRequest(request)) {
      if (this.#eventsBeforeCrash === 0) return this.#crash(target, running);
      running.hasBegun = true;
      this.#heap.after(this.#eventsBeforeCrash * EVENT_MS, () => {
        if (target.incarnation === incarnation) this.#crash(target, running);
      });
      return;
    }
    running.hasBegun = true;
    const parts = sharedParts(request.prompt).map(({ id }) => id);
    this.#heap.after(request.events * EVENT_MS, () => {
      if (target.incarnation !== incarnation) return;
      target.running.delete(running);
      const proofs = daemon.ledger.recordSound(parts, this.#heap.nowMs);
      for (const proof of proofs) this.#announceProof(daemon, proof);
    });
  }

  #crash(target: ModelTarget, cause: RunningRequest | undefined): void {
    this.crashes += 1;
    const name = `${target.index}@${target.incarnation}`;
    const interrupted = [...target.running];
    target.running.clear();
    target.incarnation += 1;
    target.upAtMs = this.#heap.nowMs + DOWN_MS;
    for (const running of interrupted) {
      this.#onBroken(running, name, running === cause);
    }
  }

  #onBroken(
    { daemon, request, attempts, hasBegun }: RunningRequest,
    crash: string,
    isCause: boolean,
  ): void {
    if (this.#network.down.has(daemon.index)) return;
    const nowMs = this.#heap.nowMs;
    const parts = sharedParts(request.prompt).map(({ id }) => id)
      .filter((part) => !daemon.ledger.isProvenSound(part, nowMs));
    if (parts.length > 0) {
      const collected = daemon.unconfirmed.get(crash) ?? [];
      if (collected.length === 0) {
        this.#heap.after(CONFIRM_MS, () => this.#report(daemon, crash));
      }
      daemon.unconfirmed.set(crash, [...collected, {
        parts,
        hasResponse: isCause || hasBegun,
        isAdvanced: hasBegun,
      }]);
    }
    if (attempts < MAX_SENDS && !hasBegun) {
      this.send(daemon.index, request, attempts + 1);
    }
  }

  #report(daemon: ModelDaemon, crash: string): void {
    const suspects = daemon.unconfirmed.get(crash) ?? [];
    daemon.unconfirmed.delete(crash);
    const nowMs = this.#heap.nowMs;
    const hasBegun = suspects.some(({ hasResponse }) => hasResponse);
    if (!daemon.reportLimit.mayReport(hasBegun, nowMs)) return;
    const report: PromptCrashReport = { target: crash, suspects };
    const record = (index: number) => {
      const other = this.daemons[index]!;
      other.reportLimit.recordReport(this.#heap.nowMs);
      return other.ledger.recordCrash(report, this.#heap.nowMs);
    };
    this.#network.announce(daemon.index, record);
    const quarantined = record(daemon.index);
    if (quarantined) this.#announceQuarantine(daemon, quarantined);
  }

  #announceQuarantine(daemon: ModelDaemon, quarantined: QuarantinedParts) {
    this.#network.announce(daemon.index, (index) => {
      const other = this.daemons[index]!;
      const proofs = other.ledger.recordQuarantine(
        quarantined,
        this.#heap.nowMs,
      );
      for (const proof of proofs) this.#announceProof(other, proof);
    });
  }

  #announceProof(daemon: ModelDaemon, proof: SoundPart): void {
    this.#network.announce(daemon.index, (index) => {
      this.daemons[index]!.ledger.recordProof(proof, this.#heap.nowMs);
    });
  }
}

/** Whether the prompt has a part whose name says that it is deadly. */
export function isDeadlyRequest({ prompt }: WorkloadRequest): boolean {
  return sharedParts(prompt).some(({ id }) => id.startsWith("deadly"));
}
