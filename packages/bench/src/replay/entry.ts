import { affinityWaitMs, type PlacementPolicy } from "@coltsfootford/core";
import type { Deployment, TraceRequest } from "../load/index.ts";
import type { Admission, AdmissionGate, GateAnswer } from "./admission_gate.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import type { FakeEngine, RunningRequest } from "./fake_engine.ts";
import type { ReplayMetrics } from "./replay_metrics.ts";
import type { World } from "./world.ts";

/** Delay between callers and daemons, one way, in ms. */
const CLIENT_DELAY_MS = 1;
/** Pause before all targets of the order are asked again; it doubles. */
const RETRY_MS = 25;
const MAX_RETRY_DOUBLINGS = 4;
const DEADLINE_MS = 60_000;
const MAX_TARGETS = 6;
/** Time after which a stalled stream across a cut is given up. */
const STALLED_MS = 2_000;

interface Attempt {
  readonly daemon: FakeDaemon;
  readonly request: TraceRequest;
  readonly order: readonly string[];
  /** The targets of the order that have not failed the request. */
  left: readonly string[];
  /** How often all targets of the order were full. */
  readonly waits: number;
}

interface Flight {
  readonly daemon: FakeDaemon;
  readonly engine: FakeEngine;
  readonly admission: Admission;
  running: RunningRequest | undefined;
  isOver: boolean;
}

/** The way of requests through the daemons to the targets and back. */
export class Entry {
  readonly #world: World;
  readonly #deployment: Deployment;
  readonly #policyOf: (daemon: FakeDaemon) => PlacementPolicy;
  readonly #gate: AdmissionGate;
  readonly #metrics: ReplayMetrics;
  readonly #flights = new Set<Flight>();

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

  /** Takes a request at a daemon that the balancer picks. */
  take(request: TraceRequest): void {
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

  /** A daemon is gone: its requests end at the targets if connections close. */
  daemonGone(daemon: FakeDaemon, isKill: boolean): void {
    for (const flight of this.#flights) {
      if (flight.daemon !== daemon) continue;
      this.#metrics.failed += 1;
      flight.isOver = true;
      this.#flights.delete(flight);
      if (!isKill) continue;
      const delayMs = this.#world.network.drawDelayMs(
        daemon.availabilityZone,
        flight.engine.availabilityZone,
      );
      this.#world.heap.after(delayMs, () => {
        if (flight.running) flight.engine.cancel(flight.running);
      });
    }
  }

  /** Streams across a cut stall and are given up after a while. */
  zoneCut(): void {
    for (const flight of this.#flights) {
      if (this.#isLinked(flight.daemon, flight.engine)) continue;
      this.#world.heap.after(STALLED_MS, () => this.#fail(flight));
    }
  }

  #place(
    daemon: FakeDaemon,
    request: TraceRequest,
    waits: number,
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
      left: order,
      waits,
    };
    this.#askNext(attempt);
  }

  #askNext(attempt: Attempt): void {
    if (attempt.left.length === 0) return this.#wait(attempt);
    this.#gate.ask({
      daemon: attempt.daemon,
      order: attempt.left,
      request: attempt.request,
      waitMs: this.#waitMs(attempt),
      onAnswer: (answer) => this.#takeAnswer(attempt, answer),
    });
  }

  /** The first target is worth a wait; so is any once all were full. */
  #waitMs(attempt: Attempt): number {
    if (attempt.left.length < attempt.order.length) return 0;
    if (attempt.waits > 0) return 0;
    const { prefixTokens } = attempt.request;
    return affinityWaitMs(this.#deployment.reuseWeight, prefixTokens);
  }

  #takeAnswer(attempt: Attempt, answer: GateAnswer): void {
    if (typeof answer !== "string") return this.#send(attempt, answer);
    this.#wait(attempt);
  }

  /** Goes on without a target that did not take the request. */
  #leaveOut(attempt: Attempt, target: string): void {
    attempt.left = attempt.left.filter((name) => name !== target);
    this.#askNext(attempt);
  }

  #wait(attempt: Attempt): void {
    const { daemon, request } = attempt;
    if (attempt.waits === 0) this.#metrics.waited += 1;
    if (this.#world.heap.nowMs - request.atMs > DEADLINE_MS) {
      this.#metrics.refused += 1;
      return;
    }
    const doublings = Math.min(attempt.waits, MAX_RETRY_DOUBLINGS);
    this.#world.heap.after(
      RETRY_MS * 2 ** doublings,
      () => daemon.run(() => this.#place(daemon, request, attempt.waits + 1)),
    );
  }

  #send(attempt: Attempt, admission: Admission): void {
    const { daemon } = attempt;
    const { target } = admission;
    if (!admission.start()) return this.#leaveOut(attempt, target);
    const engine = this.#world.engine(target)!;
    const flight: Flight = {
      daemon,
      engine,
      admission,
      running: undefined,
      isOver: false,
    };
    this.#flights.add(flight);
    if (!this.#isLinked(daemon, engine)) {
      return this.#world.heap.after(STALLED_MS, () => this.#fail(flight));
    }
    this.#afterDelay(flight, () => this.#arrive(attempt, flight));
  }

  #arrive(attempt: Attempt, flight: Flight): void {
    const { engine, daemon } = flight;
    if (flight.isOver) return;
    if (!engine.isUp || engine.isLeaving) {
      return this.#afterDelay(flight, () =>
        daemon.run(() => {
          this.#finish(flight);
          this.#leaveOut(attempt, engine.name);
        }));
    }
    const { request } = attempt;
    const allowedRequests = this.#world.allowedLoadRequests(engine);
    this.#metrics.noteAdmission(engine.loadRequests + 1, allowedRequests);
    const isSpilled = engine.name !== attempt.order[0];
    if (isSpilled) this.#metrics.spilled += 1;
    flight.running = engine.start({
      chat: request.chat,
      prefixTokens: request.prefixTokens,
      promptTokens: request.promptTokens,
      answerTokens: request.answerTokens,
      priority: this.#deployment.kinds[request.requestKind]!.priority,
      onCached: (tokens) => this.#metrics.noteCached(request, tokens),
      onFirstToken: () => this.#noteFirstToken(flight, request),
      onEnd: (isComplete) => this.#noteEnd(flight, isComplete),
    });
  }

  #noteFirstToken(flight: Flight, request: TraceRequest): void {
    const backMs = CLIENT_DELAY_MS + this.#drawDelayMs(flight);
    const durationMs = this.#world.heap.nowMs + backMs - request.atMs;
    this.#metrics.noteFirstToken(request, durationMs);
  }

  #noteEnd(flight: Flight, isComplete: boolean): void {
    if (flight.isOver) return;
    if (!this.#isLinked(flight.daemon, flight.engine)) return;
    this.#afterDelay(flight, () =>
      flight.daemon.run(() => {
        if (flight.isOver) return;
        if (isComplete) this.#metrics.completed += 1;
        else this.#metrics.failed += 1;
        this.#finish(flight);
      }));
  }

  #fail(flight: Flight): void {
    flight.daemon.run(() => {
      if (flight.isOver) return;
      this.#metrics.failed += 1;
      this.#finish(flight);
    });
  }

  #finish(flight: Flight): void {
    flight.isOver = true;
    this.#flights.delete(flight);
    flight.admission.end();
  }

  #afterDelay(flight: Flight, action: () => void): void {
    this.#world.heap.after(this.#drawDelayMs(flight), action);
  }

  #drawDelayMs(flight: Flight): number {
    return this.#world.network.drawDelayMs(
      flight.daemon.availabilityZone,
      flight.engine.availabilityZone,
    );
  }

  #isLinked(daemon: FakeDaemon, engine: FakeEngine): boolean {
    return this.#world.network.isLinked(
      daemon.availabilityZone,
      engine.availabilityZone,
    );
  }
}
