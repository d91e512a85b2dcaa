import { affinityWaitMs, type PlacementPolicy } from "@coltsfootford/core";
import type { Deployment, TraceRequest } from "../load/index.ts";
import type {
  Admission,
  AdmissionGate,
  GateOutcome,
} from "./admission_gate.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import type { FakeEngine, RunningRequest } from "./fake_engine.ts";
import type { ReplayMetrics } from "./replay_metrics.ts";
import type { World } from "./world.ts";

/** One-way delay between clients and daemons. */
const CLIENT_DELAY_MS = 1;
/** Delay before the first retry over all targets; doubles with each retry. */
const RETRY_BASE_DELAY_MS = 25;
const MAX_RETRY_DOUBLINGS = 4;
const DEADLINE_MS = 60_000;
const MAX_TARGETS = 6;
/** Time after which a stalled stream across a cut fails. */
const STALL_TIMEOUT_MS = 2_000;

interface Attempt {
  readonly daemon: FakeDaemon;
  readonly request: TraceRequest;
  readonly order: readonly string[];
  /** The targets of the order that have not rejected the request. */
  remaining: readonly string[];
  /** How often no target of the order admitted the request. */
  readonly retries: number;
}

interface InFlightRequest {
  readonly daemon: FakeDaemon;
  readonly engine: FakeEngine;
  readonly admission: Admission;
  running: RunningRequest | undefined;
  hasEnded: boolean;
}

/** Forwards requests through the daemons to the targets, and responses back. */
export class RequestForwarder {
  readonly #world: World;
  readonly #deployment: Deployment;
  readonly #policyOf: (daemon: FakeDaemon) => PlacementPolicy;
  readonly #gate: AdmissionGate;
  readonly #metrics: ReplayMetrics;
  readonly #inFlight = new Set<InFlightRequest>();

  constructor(
    world: World,
    deployment: Deployment,
    policyOf: (daemon: FakeDaemon) => PlacementPolicy,
    gate: AdmissionGate,
    metrics: ReplayMetrics,
  ) {
    this.#world = world;
    this.#deployment = deployment;
    this.#policyOf = policyOf;
    this.#gate = gate;
    this.#metrics = metrics;
  }

  /** Receives a request at a random ready daemon. */
  receive(request: TraceRequest): void {
    const ready = this.#world.readyDaemons();
    const daemon = ready[this.#world.random.index(ready.length)];
    this.#metrics.requests += 1;
    if (!daemon) {
      this.#metrics.refused += 1;
      return;
    }
    this.#world.heap.after(
      CLIENT_DELAY_MS,
      () => daemon.run(() => this.#place(daemon, request, 0)),
    );
  }

  /** Fails the requests of a lost daemon; `isKill` cancels them at targets. */
  onDaemonGone(daemon: FakeDaemon, isKill: boolean): void {
    for (const inFlight of this.#inFlight) {
      if (inFlight.daemon !== daemon) continue;
      this.#metrics.failed += 1;
      inFlight.hasEnded = true;
      this.#inFlight.delete(inFlight);
      if (!isKill) continue;
      const delayMs = this.#world.network.drawDelayMs(
        daemon.availabilityZone,
        inFlight.engine.availabilityZone,
      );
      this.#world.heap.after(delayMs, () => {
        if (inFlight.running) inFlight.engine.cancel(inFlight.running);
      });
    }
  }

  /** Fails the streams that cross a cut, after the stall timeout. */
  onZoneCut(): void {
    for (const inFlight of this.#inFlight) {
      if (this.#isLinked(inFlight.daemon, inFlight.engine)) continue;
      this.#world.heap.after(STALL_TIMEOUT_MS, () => this.#fail(inFlight));
    }
  }

  #place(
    daemon: FakeDaemon,
    request: TraceRequest,
    retries: number,
  ): void {
    const order = this.#policyOf(daemon).orderTargets(
      {
        chatKey: String(request.chat),
        availabilityZone: daemon.availabilityZone,
        reuseWeight: this.#deployment.reuseWeight,
        crossZonePenalty: this.#deployment.crossZonePenalty,
        maxTargets: MAX_TARGETS,
      },
      daemon.view.poolView(),
    );
    const attempt = {
      daemon,
      request,
      order,
      remaining: order,
      retries,
    };
    this.#requestAdmission(attempt);
  }

  #requestAdmission(attempt: Attempt): void {
    if (attempt.remaining.length === 0) return this.#retryLater(attempt);
    this.#gate.requestAdmission({
      daemon: attempt.daemon,
      order: attempt.remaining,
      request: attempt.request,
      waitMs: this.#waitMs(attempt),
      onOutcome: (outcome) => this.#onGateOutcome(attempt, outcome),
    });
  }

  /** The first target is worth a wait; so is any once all were full. */
  #waitMs(attempt: Attempt): number {
    if (attempt.remaining.length < attempt.order.length) return 0;
    if (attempt.retries > 0) return 0;
    const { prefixTokens } = attempt.request;
    return affinityWaitMs(this.#deployment.reuseWeight, prefixTokens);
  }

  #onGateOutcome(attempt: Attempt, outcome: GateOutcome): void {
    if (typeof outcome !== "string") return this.#send(attempt, outcome);
    this.#retryLater(attempt);
  }

  /** Continues without a target that rejected the request. */
  #excludeTarget(attempt: Attempt, target: string): void {
    attempt.remaining = attempt.remaining.filter((name) => name !== target);
    this.#requestAdmission(attempt);
  }

  #retryLater(attempt: Attempt): void {
    const { daemon, request } = attempt;
    if (attempt.retries === 0) this.#metrics.waited += 1;
    if (this.#world.heap.nowMs - request.atMs > DEADLINE_MS) {
      this.#metrics.refused += 1;
      return;
    }
    const doublings = Math.min(attempt.retries, MAX_RETRY_DOUBLINGS);
    this.#world.heap.after(
      RETRY_BASE_DELAY_MS * 2 ** doublings,
      () => daemon.run(() => this.#place(daemon, request, attempt.retries + 1)),
    );
  }

  #send(attempt: Attempt, admission: Admission): void {
    const { daemon } = attempt;
    const { target } = admission;
    if (!admission.start()) return this.#excludeTarget(attempt, target);
    const engine = this.#world.engine(target)!;
    const inFlight: InFlightRequest = {
      daemon,
      engine,
      admission,
      running: undefined,
      hasEnded: false,
    };
    this.#inFlight.add(inFlight);
    if (!this.#isLinked(daemon, engine)) {
      return this.#world.heap.after(
        STALL_TIMEOUT_MS,
        () => this.#fail(inFlight),
      );
    }
    this.#afterDelay(inFlight, () => this.#arrive(attempt, inFlight));
  }

  #arrive(attempt: Attempt, inFlight: InFlightRequest): void {
    const { engine, daemon } = inFlight;
    if (inFlight.hasEnded) return;
    if (!engine.isUp || engine.isLeaving) {
      return this.#afterDelay(inFlight, () =>
        daemon.run(() => {
          this.#finish(inFlight);
          this.#excludeTarget(attempt, engine.name);
        }));
    }
    const { request } = attempt;
    const allowedRequests = this.#world.allowedLoadRequests(engine);
    this.#metrics.recordAdmission(engine.loadRequests + 1, allowedRequests);
    const isSpilled = engine.name !== attempt.order[0];
    if (isSpilled) this.#metrics.spilled += 1;
    inFlight.running = engine.start({
      chat: request.chat,
      prefixTokens: request.prefixTokens,
      promptTokens: request.promptTokens,
      answerTokens: request.answerTokens,
      priority: this.#deployment.kinds[request.requestKind]!.priority,
      onCached: (tokens) => this.#metrics.recordCachedTokens(request, tokens),
      onFirstToken: () => this.#onFirstToken(inFlight, request),
      onEnd: (isComplete) => this.#onEnd(inFlight, isComplete),
    });
  }

  #onFirstToken(inFlight: InFlightRequest, request: TraceRequest): void {
    const returnDelayMs = CLIENT_DELAY_MS + this.#drawDelayMs(inFlight);
    const durationMs = this.#world.heap.nowMs + returnDelayMs - request.atMs;
    this.#metrics.recordFirstToken(request, durationMs);
  }

  #onEnd(inFlight: InFlightRequest, isComplete: boolean): void {
    if (inFlight.hasEnded) return;
    if (!this.#isLinked(inFlight.daemon, inFlight.engine)) return;
    this.#afterDelay(inFlight, () =>
      inFlight.daemon.run(() => {
        if (inFlight.hasEnded) return;
        if (isComplete) this.#metrics.completed += 1;
        else this.#metrics.failed += 1;
        this.#finish(inFlight);
      }));
  }

  #fail(inFlight: InFlightRequest): void {
    inFlight.daemon.run(() => {
      if (inFlight.hasEnded) return;
      this.#metrics.failed += 1;
      this.#finish(inFlight);
    });
  }

  #finish(inFlight: InFlightRequest): void {
    inFlight.hasEnded = true;
    this.#inFlight.delete(inFlight);
    inFlight.admission.end();
  }

  #afterDelay(inFlight: InFlightRequest, action: () => void): void {
    this.#world.heap.after(this.#drawDelayMs(inFlight), action);
  }

  #drawDelayMs(inFlight: InFlightRequest): number {
    return this.#world.network.drawDelayMs(
      inFlight.daemon.availabilityZone,
      inFlight.engine.availabilityZone,
    );
  }

  #isLinked(daemon: FakeDaemon, engine: FakeEngine): boolean {
    return this.#world.network.isLinked(
      daemon.availabilityZone,
      engine.availabilityZone,
    );
  }
}
