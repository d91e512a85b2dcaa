import {
  Candidates,
  type DaemonCandidate,
  type FleetList,
} from "./candidates.ts";
import { ChangeDisseminator } from "./change_disseminator.ts";
import { DigestCheck } from "./digest_check.ts";
import { FailureMonitor } from "./failure_monitor.ts";
import { HeartbeatSender } from "./heartbeat_sender.ts";
import { toDaemonDelta } from "./member_table.ts";
import {
  DOWN_TARGETS_KEY,
  MembershipReader,
  SILENT_ZONES_KEY,
} from "./membership_reader.ts";
import {
  DEFAULT_MEMBERSHIP_OPTIONS,
  type MembershipDependencies,
  type MembershipOptions,
} from "./options.ts";
import { Outbox } from "./outbox.ts";
import { attachPeriodMs, refreshPeriodMs } from "./own_attachments.ts";
import { PauseGuard } from "./pause_guard.ts";
import {
  type AttachedValue,
  type Delta,
  HEALTH,
  type Health,
  type HeartbeatParams,
  type OutgoingMessage,
  type PullParams,
  TARGET_CONDITION,
  type TargetCondition,
} from "./wire.ts";
import { createZoneMap, type ZoneMap } from "./zone_map.ts";
import { ZoneWatch } from "./zone_watch.ts";

/** Attachments that are part of the state whose changes `revision` counts. */
const STATE_KEYS: ReadonlySet<string> = new Set([
  SILENT_ZONES_KEY,
  DOWN_TARGETS_KEY,
]);
/** Period of the attempts of a daemon to join, and how many it pulls from. */
const JOIN_RETRY_MS = 500;
const JOIN_FAN_OUT = 3;
/** The changes of a pull response are disseminated up to this number. */
const MAX_DISSEMINATED_PULL_CHANGES = 32;

/** The membership protocol of one daemon, as a state machine without I/O. */
export class Membership extends MembershipReader {
  readonly #options: MembershipOptions;
  readonly #outbox = new Outbox();
  readonly #disseminator: ChangeDisseminator;
  readonly #heartbeats: HeartbeatSender;
  readonly #monitor: FailureMonitor;
  readonly #zoneWatch: ZoneWatch;
  readonly #guard: PauseGuard;
  readonly #digestCheck: DigestCheck;
  #zoneMap: ZoneMap | undefined;
  #incarnation: number;
  #isLeaving = false;
  #hasJoined = false;
  #revision = 0;
  #nextContactMs = Number.NEGATIVE_INFINITY;
  #contactCount = 0;

  constructor(dependencies: MembershipDependencies) {
    const { vm, availabilityZone } = dependencies;
    const self: DaemonCandidate = { vm, availabilityZone, state: "live" };
    super(self, new Candidates(self, dependencies.seeds));
    const options = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...dependencies.options };
    this.#incarnation = dependencies.incarnation;
    this.#options = options;
    this.#heartbeats = new HeartbeatSender(
      availabilityZone,
      this.table,
      this.#outbox,
      options,
    );
    this.#disseminator = new ChangeDisseminator(
      availabilityZone,
      this.candidates,
      this.table,
      this.#outbox,
    );
    this.#monitor = new FailureMonitor(
      options.suspectAfterMs,
      options.suspicionMs,
    );
    this.#zoneWatch = new ZoneWatch(options.zoneSilentMs);
    this.#guard = new PauseGuard(options.pauseLimitMs, options.rejoinWaitMs);
    this.#digestCheck = new DigestCheck(
      options.digestMismatchCount,
      options.pullMs,
    );
    this.table.merge(this.#ownDelta());
  }

  /** Increases with every change of a daemon's, target's or zone's state. */
  get revision(): number {
    return this.#revision;
  }

  /** The incarnation of this daemon; a pause or a refutation raises it. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether another daemon has responded since the start or a pause. */
  get hasJoined(): boolean {
    return this.#hasJoined;
  }

  /** When the current pause began; undefined without one. */
  get pausedSinceMs(): number | undefined {
    return this.#guard.pausedSinceMs;
  }

  /** Whether this daemon may act as an owner of targets at `nowMs`. */
  isMandateValid(nowMs: number): boolean {
    return !this.#isLeaving && this.#guard.isAwake(nowMs);
  }

  /** Does all work that is due. To be called every `tickMs` of the options. */
  tick(nowMs: number): void {
    if (this.#guard.tick(nowMs)) this.#resume(nowMs);
    const leaving = this.#isLeaving ? this.#ownDelta() : undefined;
    const map = this.zoneMap();
    this.#heartbeats.send(map, this.#incarnation, leaving, nowMs);
    this.#evaluatePredecessors(nowMs);
    this.#watchZones(nowMs);
    this.sendAttachments(nowMs);
    this.#contactOthers(nowMs);
  }

  receiveHeartbeat(from: string, params: HeartbeatParams, nowMs: number): void {
    const [incarnation, zone, digest, deltas] = params;
    if (!this.#recordSender(from, nowMs)) return;
    this.#applyAll(deltas, from);
    this.#correctSender(from, incarnation);
    const isEqual = this.table.digest(zone) === digest;
    if (!this.#digestCheck.compare(from, zone, isEqual, nowMs)) return;
    const leaving = this.table.dumpLeavingTargets(zone);
    this.#outbox.addPull(from, [zone, [this.#ownDelta(), ...leaving]]);
  }

  receiveChanges(from: string, deltas: readonly Delta[], nowMs: number): void {
    if (this.#recordSender(from, nowMs)) this.#applyAll(deltas, from);
  }

  /** Applies a pull request and returns the records of its response. */
  receivePull(from: string, params: PullParams, nowMs: number): Delta[] {
    const [zone, deltas] = params;
    if (!this.#recordSender(from, nowMs)) return [];
    this.#applyAll(deltas, from);
    return this.table.dump(zone);
  }

  receivePullResponse(
    from: string,
    deltas: readonly Delta[],
    nowMs: number,
  ): void {
    if (!this.#recordSender(from, nowMs)) return;
    this.#hasJoined = true;
    const changes = this.#mergeAll(deltas);
    // With a larger difference this daemon is new and has nothing to report.
    if (changes.length > MAX_DISSEMINATED_PULL_CHANGES) return;
    for (const delta of changes) this.#disseminate(delta, from);
  }

  /** Handles the close of a connection that `vm` had opened. */
  connectionClosed(vm: string, nowMs: number): void {
    this.#monitor.connectionClosed(vm, nowMs);
  }

  applyList(list: FleetList): void {
    for (const vm of this.candidates.apply(list, this.vm)) {
      this.table.remove(vm);
      this.#digestCheck.remove(vm);
    }
    this.table.removeUnlistedTargets();
    this.#changed();
  }

  /** Attaches a small value to this daemon, which all others can read. */
  attach(key: string, value: AttachedValue, nowMs: number): void {
    this.attachments.set(key, value);
    this.sendAttachments(nowMs);
  }

  /** When `sendAttachments` may send changed values; undefined without any. */
  get attachmentsDueMs(): number | undefined {
    return this.attachments.dueMs(this.#attachPeriodMs());
  }

  sendAttachments(nowMs: number): void {
    const due = this.attachments.drainDue(
      this.#incarnation,
      this.#attachPeriodMs(),
      refreshPeriodMs(this.#options, this.zoneMap().memberCount),
      nowMs,
    );
    for (const delta of due) {
      this.table.merge(delta);
      this.#disseminate(delta, this.vm);
    }
  }

  /** Records whether an incarnation of a target is leaving or live. */
  reportTarget(
    name: string,
    incarnation: string,
    condition: TargetCondition,
  ): void {
    const old = this.table.targets.get(name);
    // A target stays leaving until it restarts with a new incarnation.
    const isKnown = old?.incarnation === incarnation &&
      [condition, TARGET_CONDITION.leaving].includes(old.condition);
    if (isKnown || (!old && condition === TARGET_CONDITION.live)) return;
    this.#apply(
      ["t", name, incarnation, condition, (old?.stamp ?? 0) + 1],
      this.vm,
    );
  }

  /** Records that a target states that it leaves, unless it started again. */
  reportLeavingTarget(name: string, incarnation: string): void {
    if (this.hasOtherIncarnation(name, incarnation)) return;
    this.reportTarget(name, incarnation, TARGET_CONDITION.leaving);
  }

  /** Reports which of the targets that this daemon probes do not respond. */
  reportDown(names: readonly string[], nowMs: number): void {
    const before = this.attachments.get(DOWN_TARGETS_KEY);
    if (before === undefined && names.length === 0) return;
    this.attach(DOWN_TARGETS_KEY, [...names].sort(), nowMs);
    if (this.attachments.get(DOWN_TARGETS_KEY) !== before) this.#changed();
  }

  /** Announces to the fleet that this daemon accepts no more work. */
  leave(): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.#announce();
  }

  /** Drains the messages to send; to be called after each event. */
  drainMessages(): OutgoingMessage[] {
    return this.#outbox.drain();
  }

  /** Records a message of `from`; false for a VM that is no candidate. */
  #recordSender(from: string, nowMs: number): boolean {
    const candidate = this.candidates.daemons.get(from);
    if (!candidate) return false;
    this.#monitor.recordMessage(from, nowMs);
    this.#zoneWatch.recordMessage(candidate.availabilityZone, nowMs);
    this.#guard.confirm();
    return true;
  }

  /** Sends a daemon its record if that is newer or not live, to be refuted. */
  #correctSender(from: string, incarnation: number): void {
    const record = this.table.daemons.get(from);
    if (!record || record.incarnation < incarnation) {
      this.#apply(["d", from, incarnation, HEALTH.live, 0], from);
      return;
    }
    const isOutdated = record.incarnation > incarnation;
    if (record.health === HEALTH.live && !isOutdated) return;
    this.#outbox.addDelta(from, toDaemonDelta(record));
  }

  #applyAll(deltas: readonly Delta[], from: string): void {
    for (const delta of this.#mergeAll(deltas)) this.#disseminate(delta, from);
  }

  #apply(delta: Delta, from: string): void {
    this.#applyAll([delta], from);
  }

  /** Merges changes and returns those that were new. */
  #mergeAll(deltas: readonly Delta[]): Delta[] {
    const changes: Delta[] = [];
    for (const delta of deltas) {
      if (delta[0] !== "t" && delta[1] === this.vm) {
        if (delta[0] === "d") this.#refute(delta[2], delta[3], delta[5]);
      } else if (this.table.merge(delta)) {
        changes.push(delta);
        this.#changed(delta);
      }
    }
    return changes;
  }

  /** Refutes records that others have of this daemon, by a new incarnation. */
  #refute(
    incarnation: number,
    health: Health,
    suspectedBy: string | undefined,
  ): void {
    if (incarnation < this.#incarnation) return;
    const isOwnState = incarnation === this.#incarnation &&
      health === HEALTH.live;
    if (isOwnState) return;
    // The suspecting daemon receives nothing over the connection to it.
    if (suspectedBy !== undefined) this.#outbox.addReset(suspectedBy);
    this.#incarnation = incarnation + 1;
    this.#announce();
  }

  #resume(nowMs: number): void {
    this.#incarnation += 1;
    this.#monitor.reset();
    this.#zoneWatch.reset();
    this.#nextContactMs = nowMs;
    this.#hasJoined = false;
    this.#announce();
  }

  #announce(): void {
    const delta = this.#ownDelta();
    this.table.merge(delta);
    this.#changed();
    this.#disseminate(delta, this.vm);
  }

  #ownDelta(): Delta {
    const leaving = this.#isLeaving ? 1 : 0;
    return ["d", this.vm, this.#incarnation, HEALTH.live, leaving];
  }

  #disseminate(delta: Delta, from: string): void {
    this.#disseminator.disseminate(delta, from, this.zoneMap());
  }

  #evaluatePredecessors(nowMs: number): void {
    const watched = this.zoneMap().predecessors
      .map((vm) => this.table.daemons.get(vm))
      .filter((record) => record !== undefined);
    for (const { record, health } of this.#monitor.evaluate(watched, nowMs)) {
      const leaving = record.isLeaving ? 1 : 0;
      const { vm, incarnation } = record;
      const delta: Delta = ["d", vm, incarnation, health, leaving, this.vm];
      // The suspect must always get the suspicion, so that it can refute it.
      this.#outbox.addDelta(vm, delta);
      this.#apply(delta, this.vm);
    }
  }

  #watchZones(nowMs: number): void {
    const watched: string[] = [];
    for (const [zone, receivers] of this.zoneMap().receivers) {
      if (receivers.includes(this.vm)) watched.push(zone);
    }
    const silent = this.#zoneWatch.silentZones(watched, nowMs);
    const before = this.attachments.get(SILENT_ZONES_KEY);
    if (before === undefined && silent.length === 0) return;
    this.attachments.set(SILENT_ZONES_KEY, silent);
    if (this.attachments.get(SILENT_ZONES_KEY) !== before) this.#changed();
  }

  #attachPeriodMs(): number {
    return attachPeriodMs(this.#options, this.zoneMap().memberCount);
  }

  /** Pulls from dead daemons to heal partitions, or from any before joining. */
  #contactOthers(nowMs: number): void {
    if (nowMs < this.#nextContactMs) return;
    const waitMs = this.#hasJoined ? this.#options.contactMs : JOIN_RETRY_MS;
    this.#nextContactMs = nowMs + waitMs;
    const others = [...this.candidates.daemons.keys()].filter((vm) =>
      vm !== this.vm && (!this.#hasJoined || this.stateOf(vm) === "dead")
    ).sort();
    const fanOut = Math.min(others.length, this.#hasJoined ? 1 : JOIN_FAN_OUT);
    for (let i = 0; i < fanOut; i++) {
      const to = others[this.#contactCount++ % others.length]!;
      this.#outbox.addPull(to, ["", [this.#ownDelta()]]);
    }
  }

  protected override zoneMap(): ZoneMap {
    this.#zoneMap ??= createZoneMap(
      this.vm,
      this.zone,
      this.table,
      this.candidates,
      this.#options,
    );
    return this.#zoneMap;
  }

  #changed(delta?: Delta): void {
    // Most attachments change all the time and are not part of the state.
    if (delta?.[0] === "a" && !STATE_KEYS.has(delta[4])) return;
    this.#revision += 1;
    if (delta === undefined || delta[0] === "d") this.#zoneMap = undefined;
  }
}
