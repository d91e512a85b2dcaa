import {
  type AttachedValue,
  type CancelTimer,
  DEFAULT_MEMBERSHIP_OPTIONS,
  HEARTBEAT_METHOD,
  heartbeatSchema,
  type Member,
  Membership,
  type OutgoingMessage,
  type OwnedTarget,
  OwnerTable,
  PULL_METHOD,
  pullAnswerSchema,
  pullSchema,
  SPREAD_METHOD,
  spreadSchema,
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
  toFleetList,
  toOwnedTargets,
} from "./views.ts";

/** Start of the count of incarnations: the first second of 2026. */
const INCARNATION_EPOCH_MS = Date.UTC(2026, 0, 1);
const MS_PER_SECOND = 1000;
/** Longest wait for a first answer of another daemon at the start. */
const JOIN_WAIT_MS = 1500;
const JOIN_CHECK_MS = 20;

/** Parts of the daemon that the controller uses. */
export interface MembershipControllerParts {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  readonly seeds: readonly SeedPeer[];
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Runs the membership protocol over the connections between daemons. It reads
 * `vmList` and `lifecycle`, and alone writes `daemons`, `targets`, `keepers`
 * and `probers`.
 */
export class MembershipController extends Controller {
  override readonly name = "membership";
  readonly #parts: MembershipControllerParts;
  readonly #membership: Membership;
  readonly #ownerTable = new OwnerTable();
  /** Every target is probed from its own zone, whoever keeps it. */
  readonly #proberTable = new OwnerTable(0);
  readonly #daemons: FieldWriter<ReadonlyMap<string, DaemonView>>;
  readonly #targets: FieldWriter<ReadonlyMap<string, TargetView>>;
  readonly #owners: FieldWriter<ReadonlyMap<string, TargetOwner>>;
  readonly #probers: FieldWriter<ReadonlyMap<string, TargetOwner>>;
  readonly #cancels: (CancelTimer | CancelSubscription)[] = [];
  #cancelAttachments: CancelTimer | undefined;
  #isFlushScheduled = false;
  #shownRevision = -1;
  #failedPulls = 0;
  #unreachableZones: readonly string[] = [];

  constructor(parts: MembershipControllerParts) {
    super();
    this.#parts = parts;
    const { vm, availabilityZone, seeds, blackboard, timer } = parts;
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
    const { blackboard, timer, peers, logger } = this.#parts;
    peers.onEvent((event) => {
      logPeerEvent(logger, event);
      if (event.kind !== "disconnected" || event.direction !== "in") return;
      this.#membership.connectionClosed(event.peer, timer.nowMs());
    });
    this.#cancels.push(
      blackboard.vmList.subscribe(() => this.#applyList()),
      blackboard.lifecycle.subscribe((phase) => {
        if (phase === "draining") this.leave();
      }),
      timer.every(DEFAULT_MEMBERSHIP_OPTIONS.tickMs, () => this.#tick()),
    );
    this.#applyList();
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
      mandateValid: this.mandateValid(),
      unreachableZones: membership.unreachableZones(),
      members: membership.members().map((member) => ({
        ...member,
        attached: Object.fromEntries(member.attached),
      })),
    };
  }

  /** This daemon's incarnation, which fences what it gave out before. */
  get incarnation(): number {
    return this.#membership.incarnation;
  }

  /** Whether this daemon may act as a keeper now; false after a pause. */
  mandateValid(): boolean {
    return this.#membership.mandateValid(this.#parts.timer.nowMs());
  }

  /** One daemon with its attachments; undefined where it was never heard. */
  get(vm: string): Member | undefined {
    return this.#membership.get(vm);
  }

  /** Every daemon that was ever heard, this one included. */
  members(): Member[] {
    return this.#membership.members();
  }

  /** The value that `vm` attached under `key`. */
  attached(vm: string, key: string): AttachedValue | undefined {
    return this.#membership.attached(vm, key);
  }

  /** Attaches a small value to this daemon, for all others to read. */
  attach(key: string, value: AttachedValue): void {
    this.#membership.attach(key, value, this.#parts.timer.nowMs());
    this.#scheduleFlush();
  }

  /** Notes that a run of a target is leaving, or that it is a live one. */
  reportTarget(name: string, run: string, condition: TargetCondition): void {
    this.#membership.reportTarget(name, run, condition);
    this.#scheduleFlush();
  }

  /** Tells which of the targets that this daemon probes do not answer. */
  reportDown(names: readonly string[]): void {
    this.#membership.reportDown(names, this.#parts.timer.nowMs());
    this.#scheduleFlush();
  }

  /** Whether a zone can be heard from this one. */
  isZoneReachable(zone: string): boolean {
    return this.#membership.isZoneReachable(zone);
  }

  /** Tells the fleet that this daemon takes no more work. */
  leave(): void {
    this.#membership.leave();
    this.#flush();
  }

  #handleMessages(): void {
    const { peers, timer } = this.#parts;
    const membership = this.#membership;
    peers.handle(HEARTBEAT_METHOD, heartbeatSchema, (params, { vm }) => {
      membership.receiveHeartbeat(vm, params, timer.nowMs());
      this.#scheduleFlush();
    });
    peers.handle(SPREAD_METHOD, spreadSchema, ([deltas], { vm }) => {
      membership.receiveSpread(vm, deltas, timer.nowMs());
      this.#scheduleFlush();
    });
    peers.handle(PULL_METHOD, pullSchema, (params, { vm }) => {
      const answer = membership.receivePull(vm, params, timer.nowMs());
      this.#scheduleFlush();
      return answer;
    });
  }

  #applyList(): void {
    const vms = this.#parts.blackboard.vmList.read();
    if (vms) this.#membership.applyList(toFleetList(vms));
    this.#flush();
  }

  #tick(): void {
    const { timer, logger } = this.#parts;
    const before = this.#membership.pausedSinceMs;
    this.#membership.tick(timer.nowMs());
    const since = this.#membership.pausedSinceMs;
    if (since !== undefined && since !== before) {
      logger.event("pauseNoticed", { pausedMs: timer.nowMs() - since });
    }
    this.#flush();
  }

  /** Gathers what one loop turn has to send. */
  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => this.#flush());
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    this.#showChanges();
    for (const message of this.#membership.takeMessages()) this.#send(message);
    this.#scheduleAttachments();
  }

  #send(message: OutgoingMessage): void {
    const { peers } = this.#parts;
    if (message.kind === "reset") {
      return peers.reset(message.to, "the peer hears nothing on it");
    }
    if (message.kind === "notify") {
      return peers.notify(message.to, message.method, message.params);
    }
    void this.#pull(message.to, message.params);
  }

  async #pull(to: string, params: unknown): Promise<void> {
    const { peers, timer } = this.#parts;
    const answer = await peers.call(to, PULL_METHOD, params, pullAnswerSchema);
    if (answer.isErr()) {
      this.#failedPulls += 1;
      return;
    }
    this.#membership.receivePullAnswer(to, answer.value, timer.nowMs());
    this.#scheduleFlush();
  }

  #scheduleAttachments(): void {
    const dueMs = this.#membership.attachmentsDueMs;
    if (dueMs === undefined || this.#cancelAttachments) return;
    const { timer } = this.#parts;
    const delayMs = Math.max(0, dueMs - timer.nowMs());
    this.#cancelAttachments = timer.after(delayMs, () => {
      this.#cancelAttachments = undefined;
      this.#membership.sendAttachments(timer.nowMs());
      this.#flush();
    });
  }

  /** Waits for an answer, or until every daemon that was asked failed. */
  async #waitForJoin(): Promise<void> {
    const { timer, blackboard, vm } = this.#parts;
    const endMs = timer.nowMs() + JOIN_WAIT_MS;
    const others = [...blackboard.daemons.read().keys()]
      .filter((name) => name !== vm).length;
    while (timer.nowMs() < endMs && !this.#membership.hasJoined) {
      if (this.#failedPulls >= others) return;
      await new Promise<void>((resolve) => timer.after(JOIN_CHECK_MS, resolve));
    }
    this.#flush();
  }

  #showChanges(): void {
    if (this.#membership.revision === this.#shownRevision) return;
    this.#shownRevision = this.#membership.revision;
    const { blackboard, seeds, logger } = this.#parts;
    const vms = blackboard.vmList.read();
    const daemons = createDaemonViews(vms, seeds, this.#membership);
    const listed = toOwnedTargets(vms ?? []);
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
  targets: readonly OwnedTarget[],
): Map<string, TargetOwner> {
  const assigned = new Map<string, TargetOwner>();
  for (const target of targets) {
    const owner = table.ownerOf(target);
    if (owner) assigned.set(target.name, owner);
  }
  return assigned;
}
