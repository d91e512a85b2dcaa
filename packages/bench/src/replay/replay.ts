import {
  BoundedRingPolicy,
  DEFAULT_PERMIT_NODE_OPTIONS,
  LeastOfTwoPolicy,
  ModuloPolicy,
  type PermitNodeOptions,
  type PlacementPolicy,
  RendezvousPolicy,
  RoundRobinPolicy,
} from "@coltsfootford/core";
import type { Deployment, Trace } from "../load/index.ts";
import { RandomSource } from "../load/index.ts";
import type { AdmissionGate } from "./admission_gate.ts";
import {
  DividedShareAdmission,
  ExactGate,
  LocalEstimateAdmission,
  OpenGate,
} from "./baseline_admission.ts";
import { Entry } from "./entry.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import { DEFAULT_ENGINE_OPTIONS } from "./fake_engine.ts";
import { FaultInjector } from "./fault_injector.ts";
import type { Fault } from "./faults.ts";
import { FullKnowledgePolicy } from "./full_knowledge_policy.ts";
import { PermitAdmission } from "./permit_admission.ts";
import { ReplayMetrics, type ReplayResult } from "./replay_metrics.ts";
import { ViewSpreader } from "./view_spreader.ts";
import { World } from "./world.ts";

/** A placement policy together with a way to admit. */
export interface Contender {
  readonly policy:
    | "round-robin"
    | "least-of-two"
    | "plain-hash"
    | "bounded-ring"
    | "rendezvous"
    | "full-knowledge";
  readonly gate:
    | "no-bound"
    | "local-estimates"
    | "divided-shares"
    | "permits"
    | "exact";
}

/** What a replay runs. */
export interface ReplayOptions {
  readonly deployment: Deployment;
  readonly trace: Trace;
  readonly faults: readonly Fault[];
  readonly contender: Contender;
  readonly seed: number;
  readonly lossProbability: number;
  readonly permits?: PermitNodeOptions;
}

const DEFAULT_LOSS_PROBABILITY = 0.002;
const LOAD_HINT_PERIOD_MS = 500;
/** Time after the last request in which answers may end. */
const RUN_OUT_MS = 30_000;

export { DEFAULT_LOSS_PROBABILITY };

/** Replays a trace through the decisions of core in virtual time. */
export function replay(options: ReplayOptions): ReplayResult {
  const { deployment, trace } = options;
  const world = createWorld(options);
  const metrics = new ReplayMetrics(
    world,
    trace.head.phases,
    deployment.kinds.map((kind) => kind.name),
  );
  const gate = createGate(options, world);
  const permits = gate instanceof PermitAdmission ? gate : undefined;
  const entry = new Entry(
    world,
    deployment,
    createPolicies(options, world),
    gate,
    metrics,
  );
  const views = new ViewSpreader(world, {
    peerLost: (daemon, peer) =>
      permits?.node(daemon.name)?.permits.onPeerLost(peer),
    peerBack: (daemon, peer) => permits?.node(daemon.name)?.peerBack(peer),
  });
  views.fillViews();
  for (const daemon of world.daemons()) permits?.addDaemon(daemon);
  if (!permits) serveWithoutOwners(world);
  new FaultInjector(world, views, {
    daemonAdded: (daemon) => permits?.addDaemon(daemon),
    daemonGone: (daemon, isKill) => entry.daemonGone(daemon, isKill),
    daemonStopped: (daemon) => permits?.node(daemon.name)?.stopServing(),
    zoneCut: () => entry.zoneCut(),
  }).plan(options.faults);
  spreadLoadHints(world);
  metrics.start();
  for (const request of trace.requests) {
    world.heap.at(request.atMs, () => entry.take(request));
  }
  world.heap.runUntil(trace.head.durationMs + RUN_OUT_MS);
  return metrics.result(
    world.daemons().map((daemon) => gate.controlBytesOf(daemon.name)),
  );
}

function createWorld(options: ReplayOptions): World {
  const { deployment } = options;
  return new World({
    seed: options.seed,
    zones: deployment.zones,
    zoneDelayMs: deployment.zoneDelayMs,
    daemons: deployment.daemons,
    targets: deployment.targets,
    loadFactor: deployment.loadFactor,
    maxConcurrentPerTarget: deployment.maxConcurrentPerTarget,
    lossProbability: options.lossProbability,
    engine: DEFAULT_ENGINE_OPTIONS,
  });
}

function createGate(options: ReplayOptions, world: World): AdmissionGate {
  const { gate } = options.contender;
  if (gate === "no-bound") return new OpenGate(world);
  if (gate === "local-estimates") return new LocalEstimateAdmission(world);
  if (gate === "divided-shares") return new DividedShareAdmission(world);
  if (gate === "exact") return new ExactGate(world);
  return new PermitAdmission(
    world,
    options.permits ?? DEFAULT_PERMIT_NODE_OPTIONS,
  );
}

/** One policy for each daemon: the daemons share no state. */
function createPolicies(
  options: ReplayOptions,
  world: World,
): (daemon: FakeDaemon) => PlacementPolicy {
  const policies = new Map<string, PlacementPolicy>();
  return (daemon) => {
    const known = policies.get(daemon.name);
    if (known) return known;
    const policy = createPolicy(options, world, policies.size);
    policies.set(daemon.name, policy);
    return policy;
  };
}

function createPolicy(
  options: ReplayOptions,
  world: World,
  number: number,
): PlacementPolicy {
  const { policy } = options.contender;
  if (policy === "round-robin") return new RoundRobinPolicy(number);
  if (policy === "plain-hash") return new ModuloPolicy();
  if (policy === "bounded-ring") return new BoundedRingPolicy();
  if (policy === "full-knowledge") return new FullKnowledgePolicy(world);
  if (policy === "rendezvous") return new RendezvousPolicy();
  const random = new RandomSource(options.seed + 1 + number);
  return new LeastOfTwoPolicy((count) => random.index(count));
}

/** Without keepers, targets serve as soon as they are up. */
function serveWithoutOwners(world: World): void {
  for (const engine of world.engines()) {
    if (engine.isUp && !engine.isLeaving) engine.isServing = true;
  }
  world.heap.after(1_000, () => serveWithoutOwners(world));
}

/** Gives the daemons lagging loads as hints. */
function spreadLoadHints(world: World): void {
  for (const daemon of world.daemons()) {
    const view = daemon.view.poolView();
    for (const engine of world.engines()) {
      view.setLoad(engine.name, engine.lastReport().loadRequests);
    }
  }
  world.heap.after(LOAD_HINT_PERIOD_MS, () => spreadLoadHints(world));
}
