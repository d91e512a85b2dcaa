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
import { RequestForwarder } from "./request_forwarder.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import { DEFAULT_ENGINE_OPTIONS } from "./fake_engine.ts";
import { FaultInjector } from "./fault_injector.ts";
import type { Fault } from "./faults.ts";
import { FullKnowledgePolicy } from "./full_knowledge_policy.ts";
import { PermitAdmission } from "./permit_admission.ts";
import { ReplayMetrics, type ReplayResult } from "./replay_metrics.ts";
import { ViewDisseminator } from "./view_disseminator.ts";
import { World } from "./world.ts";

/** A placement policy and an admission gate that are compared with others. */
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

/** Input of a replay. */
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
const LOAD_REPORT_PERIOD_MS = 500;
/** Time after the end of the trace in which running responses may end. */
const DRAIN_MS = 30_000;

export { DEFAULT_LOSS_PROBABILITY };

/** Replays a trace in virtual time through the policies and permits of core. */
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
  const forwarder = new RequestForwarder(
    world,
    deployment,
    createPolicies(options, world),
    gate,
    metrics,
  );
  const views = new ViewDisseminator(world, {
    onPeerLost: (daemon, peer) =>
      permits?.node(daemon.name)?.permits.onPeerLost(peer),
    onPeerReconnected: (daemon, peer) =>
      permits?.node(daemon.name)?.onPeerReconnected(peer),
  });
  views.fillViews();
  for (const daemon of world.daemons()) permits?.addDaemon(daemon);
  if (!permits) serveWithoutOwners(world);
  new FaultInjector(world, views, {
    onDaemonAdded: (daemon) => permits?.addDaemon(daemon),
    onDaemonGone: (daemon, isKill) => forwarder.onDaemonGone(daemon, isKill),
    onDaemonStopped: (daemon) => permits?.node(daemon.name)?.stopServing(),
    onZoneCut: () => forwarder.onZoneCut(),
  }).schedule(options.faults);
  disseminateLoadReports(world);
  metrics.start();
  for (const request of trace.requests) {
    world.heap.at(request.atMs, () => forwarder.receive(request));
  }
  world.heap.runUntil(trace.head.durationMs + DRAIN_MS);
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

/** Each daemon has its own policy, because the daemons share no state. */
function createPolicies(
  options: ReplayOptions,
  world: World,
): (daemon: FakeDaemon) => PlacementPolicy {
  const policies = new Map<string, PlacementPolicy>();
  return (daemon) => {
    const existing = policies.get(daemon.name);
    if (existing) return existing;
    const policy = createPolicy(options, world, policies.size);
    policies.set(daemon.name, policy);
    return policy;
  };
}

function createPolicy(
  options: ReplayOptions,
  world: World,
  daemonIndex: number,
): PlacementPolicy {
  const { policy } = options.contender;
  if (policy === "round-robin") return new RoundRobinPolicy(daemonIndex);
  if (policy === "plain-hash") return new ModuloPolicy();
  if (policy === "bounded-ring") return new BoundedRingPolicy();
  if (policy === "full-knowledge") return new FullKnowledgePolicy(world);
  if (policy === "rendezvous") return new RendezvousPolicy();
  const random = new RandomSource(options.seed + 1 + daemonIndex);
  return new LeastOfTwoPolicy((count) => random.index(count));
}

/** Without owners, targets serve as soon as they are up. */
function serveWithoutOwners(world: World): void {
  for (const engine of world.engines()) {
    if (engine.isUp && !engine.isLeaving) engine.isServing = true;
  }
  world.heap.after(1_000, () => serveWithoutOwners(world));
}

/** Periodically copies delayed load reports into the views of the daemons. */
function disseminateLoadReports(world: World): void {
  for (const daemon of world.daemons()) {
    const view = daemon.view.poolView();
    for (const engine of world.engines()) {
      view.setLoad(engine.name, engine.lastReport().loadRequests);
    }
  }
  world.heap.after(LOAD_REPORT_PERIOD_MS, () => disseminateLoadReports(world));
}
