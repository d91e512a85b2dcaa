import {
  type AssignableTarget,
  type AttachedValue,
  type CancelTimer,
  CHANGES_METHOD,
  changesSchema,
  DEFAULT_MEMBERSHIP_OPTIONS,
  HEARTBEAT_METHOD,
  heartbeatSchema,
  type Member,
  Membership,
  type OutgoingMessage,
  OwnerTable,
  PULL_METHOD,
  pullResponseSchema,
  pullSchema,
  type TargetCondition,
  type TargetOwner,
  type TimerService,
} from "@coltsfootford/core";
import type {
  Blackboard,
  CancelSubscription,
  DaemonView,
  FieldWriter,
  TargetView,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import type { Peers } from "../peers/index.ts";
import { logPeerEvent, logViewChanges, logZoneChanges } from "./log_changes.ts";
import {
  createDaemonViews,
  createTargetViews,
  type SeedPeer,
  toAssignableTargets,
  toFleetList,
} from "./views.ts";

/** Zero point of incarnation numbers, which count the seconds since 2026. */
const INCARNATION_EPOCH_MS = Date.UTC(2026, 0, 1);
const MS_PER_SECOND = 1000;
/** Longest wait at the start for the first response of another daemon. */
const JOIN_WAIT_MS = 1500;
const JOIN_CHECK_PERIOD_MS = 20;

/** The dependencies of a `MembershipController`. */
export interface MembershipControllerDependencies {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  readonly seeds: readonly SeedPeer[];
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Runs the membership protocol over the connections between daemons. The
 * controller reads `vmList` and `lifecycle`, and is the only writer of
 * `daemons`, `targets`, `owners` and `probers`.
 */
export class MembershipController extends Controller {
  override readonly name = "membership";
  readonly #dependencies: MembershipControllerDependencies;
  readonly #membership: Membership;
  readonly #ownerTable = new OwnerTable();
  /** A target is probed from its own zone, whichever daemon owns it. */
  readonly #proberTable = new OwnerTable(0);
  readonly #daemons: FieldWriter<ReadonlyMap<string, DaemonView>>;
  readonly #targets: FieldWriter<ReadonlyMap<string, TargetView>>;
  readonly #owners: FieldWriter<ReadonlyMap<string, TargetOwner>>;
  readonly #probers: FieldWriter<ReadonlyMap<string, TargetOwner>>;
  readonly #cancels: (CancelTimer | CancelSubscription)[] = [];
  #cancelAttachments: CancelTimer | undefined;
  #isFlushScheduled = false;
  #publishedRevision = -1;
  #failedPulls = 0;
  #unreachableZones: readonly string[] = [];

  constructor(dependencies: MembershipControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    const { vm, availabilityZone, seeds, blackboard, timer } = dependencies;
    const sinceEpochMs = timer.wallClockMs() - INCARNATION_EPOCH_MS;
    this.#membership = new Membership({
      vm,
      availabilityZone,
      incarnation: Math.max(1, Math.floor(sinceEpochMs / MS_PER_SECOND)),
      seeds: seeds.map((seed) => ({ ...seed, state: "live" })),
    });
    this.#daemons = blackboard.daemons.claimWriter(this.name);
    this.#targets = blackboard.targets.claimWriter(this.name);
    this.#owners = blackboard.owners.claimWriter(this.name);
    this.#probers = blackboard.probers.claimWriter(this.name);
    this.#handleMessages();
  }

  override async start(): Promise<void> {
    const { blackboard, timer, peers, logger } = this.#dependencies;
    peers.onEvent((event) => {
      logPeerEvent(logger, event);
      if (event.kind !== "disconnected" || event.direction !== "in") return;
      this.#membership.connectionClosed(event.peer, timer.nowMs());
    });
    this.#cancels.push(
      blackboard.vmList.subscribe(() => this.#applyVmList()),
      blackboard.lifecycle.subscribe((phase) => {
        if (phase === "draining") this.leave();
      }),
      timer.every(DEFAULT_MEMBERSHIP_OPTIONS.tickMs, () => this.#tick()),
    );
    this.#applyVmList();
    this.#tick();
    await this.#waitForJoin();
  }

  override async stop(): Promise<void> {
    for (const cancel of this.#cancels) cancel();
    this.#cancelAttachments?.();
    await Promise.resolve();
  }

  override dumpState(): unknown {
    const membership = this.#membership;
    return {
      incarnation: membership.incarnation,
      hasJoined: membership.hasJoined,
      mandateValid: this.isMandateValid(),
      unreachableZones: membership.unreachableZones(),
      members: membership.members().map((member) => ({
        ...member,
        attached: Object.fromEntries(member.attached),
      })),
    };
  }

  /** This daemon's incarnation; it fences off all that earlier ones issued. */
  get incarnation(): number {
    return this.#membership.incarnation;
  }

  /** Whether this daemon may act as an owner now; false after a pause. */
  isMandateValid(): boolean {
    return this.#membership.isMandateValid(this.#dependencies.timer.nowMs());
  }

  /** A daemon with its attachments; undefined if it never announced itself. */
  get(vm: string): Member | undefined {
    return this.#membership.get(vm);
  }

  /** Every daemon that ever announced itself, including this one. */
  members(): Member[] {
    return this.#membership.members();
  }

  /** The value that `vm` attached under `key`. */
  attached(vm: string, key: string): AttachedValue | undefined {
    return this.#membership.attached(vm, key);
  }

  /** Attaches a small value to this daemon that all other daemons can read. */
  attach(key: string, value: AttachedValue): void {
    this.#membership.attach(key, value, this.#dependencies.timer.nowMs());
    this.#scheduleFlush();
  }

  /** Reports an incarnation of a target as leaving or as live. */
  reportTarget(
    name: string,
    incarnation: string,
    condition: TargetCondition,
  ): void {
    this.#membership.reportTarget(name, incarnation, condition);
    this.#scheduleFlush();
  }

  /** Reports that a target stated in a response that it leaves. */
  reportLeavingTarget(name: string, incarnation: string): void {
    this.#membership.reportLeavingTarget(name, incarnation);
    this.#scheduleFlush();
  }

  /** Reports which of the targets that this daemon probes do not respond. */
  reportDown(names: readonly string[]): void {
    this.#membership.reportDown(names, this.#dependencies.timer.nowMs());
    this.#scheduleFlush();
  }

  /** Whether `zone` is reachable from this daemon's zone. */
  isZoneReachable(zone: string): boolean {
    return this.#membership.isZoneReachable(zone);
  }

  /** Announces to the fleet that this daemon accepts no more work. */
  leave(): void {
    this.#membership.leave();
    this.#flush();
  }

  #handleMessages(): void {
    const { peers, timer } = this.#dependencies;
    const membership = this.#membership;
    peers.handle(HEARTBEAT_METHOD, heartbeatSchema, (params, { vm }) => {
      membership.receiveHeartbeat(vm, params, timer.nowMs());
      this.#scheduleFlush();
    });
    peers.handle(CHANGES_METHOD, changesSchema, ([deltas], { vm }) => {
      membership.receiveChanges(vm, deltas, timer.nowMs());
      this.#scheduleFlush();
    });
    peers.handle(PULL_METHOD, pullSchema, (params, { vm }) => {
      const response = membership.receivePull(vm, params, timer.nowMs());
      this.#scheduleFlush();
      return response;
    });
  }

  #applyVmList(): void {
    const vms = this.#dependencies.blackboard.vmList.read();
    if (vms) this.#membership.applyList(toFleetList(vms));
    this.#flush();
  }

  #tick(): void {
    const { timer, logger } = this.#dependencies;
    const previousMs = this.#membership.pausedSinceMs;
    this.#membership.tick(timer.nowMs());
    const pausedSinceMs = this.#membership.pausedSinceMs;
    if (pausedSinceMs !== undefined && pausedSinceMs !== previousMs) {
      logger.event("pauseNoticed", { pausedMs: timer.nowMs() - pausedSinceMs });
    }
    this.#flush();
  }

  /** Batches the messages of one event loop tick. */
  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => this.#flush());
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    this.#publishChanges();
    for (const message of this.#membership.drainMessages()) this.#send(message);
    this.#scheduleAttachments();
  }

  #send(message: OutgoingMessage): void {
    const { peers } = this.#dependencies;
    if (message.kind === "reset") {
      return peers.reset(
        message.to,
        "the peer receives nothing on this connection",
      );
    }
    if (message.kind === "notify") {
      return peers.notify(message.to, message.method, message.params);
    }
    void this.#pull(message.to, message.params);
  }

  async #pull(to: string, params: unknown): Promise<void> {
    const { peers, timer } = this.#dependencies;
    const response = await peers.call(
      to,
      PULL_METHOD,
      params,
      pullResponseSchema,
    );
    if (response.isErr()) {
      this.#failedPulls += 1;
      return;
    }
    this.#membership.receivePullResponse(to, response.value, timer.nowMs());
    this.#scheduleFlush();
  }

  #scheduleAttachments(): void {
    const dueMs = this.#membership.attachmentsDueMs;
    if (dueMs === undefined || this.#cancelAttachments) return;
    const { timer } = this.#dependencies;
    const delayMs = Math.max(0, dueMs - timer.nowMs());
    this.#cancelAttachments = timer.after(delayMs, () => {
      this.#cancelAttachments = undefined;
      this.#membership.sendAttachments(timer.nowMs());
      this.#flush();
    });
  }

  /** Waits for the first response, or until the pulls of all daemons failed. */
  async #waitForJoin(): Promise<void> {
    const { timer, blackboard, vm } = this.#dependencies;
    const endMs = timer.nowMs() + JOIN_WAIT_MS;
    const others = [...blackboard.daemons.read().keys()]
      .filter((name) => name !== vm).length;
    while (timer.nowMs() < endMs && !this.#membership.hasJoined) {
      if (this.#failedPulls >= others) return;
      await new Promise<void>((resolve) =>
        timer.after(JOIN_CHECK_PERIOD_MS, resolve)
      );
    }
    this.#flush();
  }

  #publishChanges(): void {
    if (this.#membership.revision === this.#publishedRevision) return;
    this.#publishedRevision = this.#membership.revision;
    const { blackboard, seeds, logger } = this.#dependencies;
    const vms = blackboard.vmList.read();
    const daemons = createDaemonViews(vms, seeds, this.#membership);
    const listed = toAssignableTargets(vms ?? []);
    const holders = this.#membership.roleHolders();
    const haveProbersChanged = this.#proberTable.update(listed, holders);
    const probers = assignTargets(this.#proberTable, listed);
    const targets = createTargetViews(vms ?? [], this.#membership, probers);
    const before = {
      daemons: blackboard.daemons.read(),
      targets: blackboard.targets.read(),
    };
    this.#daemons.write(daemons);
    this.#targets.write(targets);
    if (haveProbersChanged) this.#probers.write(probers);
    if (this.#ownerTable.update(listed, holders)) {
      this.#owners.write(assignTargets(this.#ownerTable, listed));
    }
    logViewChanges(logger, before, { daemons, targets });
    const unreachable = this.#membership.unreachableZones();
    logZoneChanges(logger, this.#unreachableZones, unreachable);
    this.#unreachableZones = unreachable;
  }
}

function assignTargets(
  table: OwnerTable,
  targets: readonly AssignableTarget[],
): Map<string, TargetOwner> {
  const assigned = new Map<string, TargetOwner>();
  for (const target of targets) {
    const owner = table.ownerOf(target);
    if (owner) assigned.set(target.name, owner);
  }
  return assigned;
}
