import {
  type CancelTimer,
  DEFAULT_PERMIT_NODE_OPTIONS,
  type OwnedTargetView,
  type PermitMessage,
  PermitNode,
  type PermitView,
  type PoolLoadReport,
  type TimerService,
} from "@coltsfootford/core";
import type {
  Blackboard,
  CancelSubscription,
  FieldWriter,
  TargetView,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Peers } from "../peers/index.ts";
import type { OwnershipMembership } from "./ownership_membership.ts";
import { NewTargets } from "./new_targets.ts";
import { PermitTransport } from "./permit_transport.ts";

const TICK_MS = 50;
/**
 * Longest lag of a target's report behind the target's own count. A report
 * counts as measured this long before it was received.
 */
const MAX_REPORT_LAG_MS = 2_000;

/** The dependencies of an `OwnershipController`. */
export interface OwnershipControllerDependencies {
  /** Name of this daemon. */
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly membership: OwnershipMembership;
  readonly peers: Peers;
  readonly timer: TimerService;
}

/**
 * Owns the targets that are assigned to this daemon, and requests permits from
 * the owners of the others. The controller reads `config`, `targets`, `owners`
 * and `loadReports`, and is the only writer of `targetLoads`.
 */
export class OwnershipController extends Controller {
  override readonly name = "keepers";
  readonly node: PermitNode;
  readonly #dependencies: OwnershipControllerDependencies;
  readonly #transport: PermitTransport;
  readonly #loads: FieldWriter<ReadonlyMap<string, number>>;
  readonly #newTargets = new NewTargets();
  readonly #cancels: (CancelTimer | CancelSubscription)[] = [];

  constructor(dependencies: OwnershipControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#loads = dependencies.blackboard.targetLoads.claimWriter(this.name);
    const options = DEFAULT_PERMIT_NODE_OPTIONS;
    this.#transport = new PermitTransport(dependencies.peers, options);
    this.node = new PermitNode({
      name: dependencies.vm,
      timer: dependencies.timer,
      view: this.#createView(),
      send: (to, message) => this.#transport.send(to, message, this.#receive),
      options,
    });
  }

  override start(): Promise<void> {
    const { blackboard, timer, peers } = this.#dependencies;
    this.#transport.listen(this.#receive);
    peers.onEvent((event) => {
      if (event.direction === "out" && event.kind === "connected") {
        const targets = blackboard.targets.read().keys();
        this.node.onPeerReconnected(event.peer, targets);
      }
      if (event.direction === "out") return;
      // A new connection may come from a new incarnation of the peer, whose
      // permit ids start again from the beginning.
      const hasConnectionChanged = event.kind === "connected" ||
        event.kind === "disconnected";
      if (hasConnectionChanged) this.node.onPeerLost(event.peer);
    });
    this.#cancels.push(
      blackboard.config.subscribe(() => this.#updateOwnedTargets()),
      blackboard.targets.subscribe(() => this.#updateOwnedTargets()),
      blackboard.owners.subscribe(() => this.#updateOwnedTargets()),
      blackboard.loadReports.subscribe(() => this.#applyLoadReports()),
      timer.every(TICK_MS, () => this.#tick()),
    );
    this.#updateOwnedTargets();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    for (const cancel of this.#cancels) cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    const nowMs = this.#dependencies.timer.nowMs();
    const { ownedTargets } = this.node;
    return ownedTargets.targetNames().map((target) => {
      const admission = ownedTargets.admissionOf(target)!;
      return {
        target,
        epoch: admission.epoch.number,
        isGranting: ownedTargets.isGranting(target, nowMs),
        loadRequests: admission.loadRequests(nowMs),
        vouchedRequests: admission.confirmedRequests(nowMs),
        endedPerSecond: admission.endedPerSecond(nowMs),
        limitRequests: ownedTargets.limitRequests(this.#poolOf(target), nowMs),
        waitingAsks: ownedTargets.queuedRequests,
      };
    });
  }

  readonly #receive = (from: string, message: PermitMessage): void => {
    if ("extras" in message) this.#publishLoads(from, message.extras.reports);
    this.node.receive(from, message);
  };

  #poolOf(target: string): string {
    return this.#dependencies.blackboard.targets.read().get(target)?.pool ?? "";
  }

  #createView(): PermitView {
    const { vm, blackboard, membership } = this.#dependencies;
    return {
      ownerOf: (target) => blackboard.owners.read().get(target)?.vm,
      holders: () =>
        membership.members().filter((member) =>
          member.isReachable && member.state !== "dead"
        ).map((member) => member.vm),
      otherOwners: () => {
        const names = new Set<string>();
        for (const owner of blackboard.owners.read().values()) {
          if (owner.vm !== vm) names.add(owner.vm);
        }
        return [...names];
      },
      mayOwn: () => membership.isMandateValid(),
    };
  }

  #tick(): void {
    this.node.tick();
    const { vm, timer } = this.#dependencies;
    this.#publishLoads(vm, this.node.ownReports(timer.nowMs()));
  }

  /** Computes which targets this daemon owns; the node takes over new ones. */
  #updateOwnedTargets(): void {
    const { blackboard, vm } = this.#dependencies;
    const targets = blackboard.targets.read();
    const nowMs = this.#dependencies.timer.nowMs();
    this.#newTargets.update(targets, nowMs);
    this.#setPools([...targets.values()]);
    const owned: OwnedTargetView[] = [];
    for (const [name, owner] of blackboard.owners.read()) {
      const target = targets.get(name);
      if (owner.vm !== vm || !target) continue;
      const { pool, state } = target;
      // An unreachable target belongs to no pool, so it is not counted.
      if (state === "dead") continue;
      const isNew = this.#newTargets.isNew(name, nowMs);
      owned.push({ name, pool, isNew, isLeaving: state !== "live" });
    }
    this.node.setOwned(owned);
  }

  #setPools(targets: readonly TargetView[]): void {
    const servingByPool = new Map<string, number>();
    for (const target of targets) {
      if (target.state !== "live") continue;
      servingByPool.set(target.pool, (servingByPool.get(target.pool) ?? 0) + 1);
    }
    const { pools } = this.#dependencies.blackboard.config.read().objects;
    this.node.setPools([...pools.values()].map((pool) => ({
      name: pool.name,
      loadFactor: pool.loadFactor,
      maxConcurrentPerTarget: pool.maxConcurrentPerTarget,
      servingTargets: servingByPool.get(pool.name) ?? 0,
    })));
  }

  /** Applies the loads that the targets reported. */
  #applyLoadReports(): void {
    for (
      const report of this.#dependencies.blackboard.loadReports.read().values()
    ) {
      this.node.onTargetReport(report.target, {
        loadRequests: report.runningRequests + report.waitingRequests,
        measuredAtMs: report.receivedAtMs - MAX_REPORT_LAG_MS,
      });
    }
  }

  /**
   * Writes the loads that an owner reported to the blackboard. A report lists
   * the loads in the order of the targets' names. A report whose length
   * differs is based on another view of the targets, and is skipped.
   */
  #publishLoads(vm: string, reports: readonly PoolLoadReport[]): void {
    if (reports.length === 0) return;
    const loads = new Map(this.#dependencies.blackboard.targetLoads.read());
    for (const { pool, loadsRequests } of reports) {
      const names = this.#listOwnedTargets(vm, pool);
      if (names.length !== loadsRequests.length) continue;
      names.forEach((name, index) => loads.set(name, loadsRequests[index]!));
    }
    this.#loads.write(loads);
  }

  #listOwnedTargets(vm: string, pool: string): string[] {
    const { targets, owners } = this.#dependencies.blackboard;
    const names: string[] = [];
    for (const [name, owner] of owners.read()) {
      const target = targets.read().get(name);
      const isServing = target?.pool === pool && target.state === "live";
      if (owner.vm === vm && isServing) names.push(name);
    }
    return names.sort();
  }
}
