import {
  Candidates,
  type DaemonCandidate,
  type FleetList,
} from "./candidates.ts";
import { ChangeSpreader } from "./change_spreader.ts";
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
  type MembershipOptions,
  type MembershipParts,
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

/** Attachments that are part of the state that readers see. */
const STATE_KEYS: ReadonlySet<string> = new Set([
  SILENT_ZONES_KEY,
  DOWN_TARGETS_KEY,
]);
/** Time between the tries of a daemon that has not reached anyone yet. */
const JOIN_RETRY_MS = 500;
/** Daemons that a joining daemon asks at a time. */
const JOIN_FAN_OUT = 3;
/** Most records of a pulled answer that are passed on to others. */
const MAX_SPREAD_OF_PULL = 32;

/**
 * The membership protocol of one daemon: events go in, messages come out.
 * After each event, `takeMessages` gives what has to be sent.
 */
export class Membership extends MembershipReader {
  readonly #options: MembershipOptions;
  readonly #outbox = new Outbox();
  readonly #spreader: ChangeSpreader;
  readonly #heartbeats: HeartbeatSender;
  readonly #monitor: FailureMonitor;
  readonly #zoneWatch: ZoneWatch;
  readonly #guard: PauseGuard;
  readonly #digestCheck: DigestCheck;
  #map: ZoneMap | undefined;
  #incarnation: number;
  #isLeaving = false;
  #hasJoined = false;
  #revision = 0;
  #nextReachOutMs = Number.NEGATIVE_INFINITY;
  #reachOutTurn = 0;

  constructor(parts: MembershipParts) {
    const { vm, availabilityZone } = parts;
    const self: DaemonCandidate = { vm, availabilityZone, state: "live" };
    super(self, new Candidates(self, parts.seeds));
    const options = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...parts.options };
    this.#incarnation = parts.incarnation;
    this.#options = options;
    this.#heartbeats = new HeartbeatSender(
      availabilityZone,
      this.table,
      this.#outbox,
      options,
    );
    this.#spreader = new ChangeSpreader(
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

  /** Grows with every change of a daemon's, target's or zone's state. */
  get revision(): number {
    return this.#revision;
  }

  /** The incarnation of this daemon; a pause or a refutation raises it. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether another daemon has answered since the start or a pause. */
  get hasJoined(): boolean {
    return this.#hasJoined;
  }

  /** When a pause began that is not over yet, or undefined. */
  get pausedSinceMs(): number | undefined {
    return this.#guard.pausedSinceMs;
  }

  /** Tells whether this daemon may act as a keeper at `nowMs`. */
  mandateValid(nowMs: number): boolean {
    return !this.#isLeaving && this.#guard.isAwake(nowMs);
  }

  /** Does what is due. Call it every `tickMs` of the options. */
  tick(nowMs: number): void {
    if (this.#guard.tick(nowMs)) this.#resume(nowMs);
    const leaving = this.#isLeaving ? this.#ownDelta() : undefined;
    const map = this.zoneMap();
    this.#heartbeats.send(map, this.#incarnation, leaving, nowMs);
    this.#judge(nowMs);
    this.#watchZones(nowMs);
    this.sendAttachments(nowMs);
    this.#reachOut(nowMs);
  }

  /** Takes a heartbeat of another daemon. */
  receiveHeartbeat(from: string, params: HeartbeatParams, nowMs: number): void {
    const [incarnation, zone, digest, deltas] = params;
    if (!this.#hear(from, nowMs)) return;
    this.#applyAll(deltas, from);
    this.#answerSender(from, incarnation);
    const isEqual = this.table.digest(zone) === digest;
    if (!this.#digestCheck.compare(from, zone, isEqual, nowMs)) return;
    const leaving = this.table.dumpLeavingTargets(zone);
    this.#outbox.addPull(from, [zone, [this.#ownDelta(), ...leaving]]);
  }

  /** Takes changes that another daemon passed on. */
  receiveSpread(from: string, deltas: readonly Delta[], nowMs: number): void {
    if (this.#hear(from, nowMs)) this.#applyAll(deltas, from);
  }

  /** Takes a pull and gives the records that answer it. */
  receivePull(from: string, params: PullParams, nowMs: number): Delta[] {
    const [zone, deltas] = params;
    if (!this.#hear(from, nowMs)) return [];
    this.#applyAll(deltas, from);
    return this.table.dump(zone);
  }

  /** Takes the answer to a pull. */
  receivePullAnswer(
    from: string,
    deltas: readonly Delta[],
    nowMs: number,
  ): void {
    if (!this.#hear(from, nowMs)) return;
    this.#hasJoined = true;
    const changes = this.#mergeAll(deltas);
    // A larger difference is that of a newcomer, which has nothing to tell.
    if (changes.length > MAX_SPREAD_OF_PULL) return;
    for (const delta of changes) this.#spread(delta, from);
  }

  /** Takes the news that the connection that `vm` had opened is closed. */
  connectionClosed(vm: string, nowMs: number): void {
    this.#monitor.connectionClosed(vm, nowMs);
  }

  /** Puts a newer VM list into force. */
  applyList(list: FleetList): void {
    for (const vm of this.candidates.apply(list, this.vm)) {
      this.table.remove(vm);
      this.#digestCheck.forget(vm);
    }
    this.table.removeUnlistedTargets();
    this.#changed();
  }

  /** Attaches a small value to this daemon, for all others to read. */
  attach(key: string, value: AttachedValue, nowMs: number): void {
    this.attachments.set(key, value);
    this.sendAttachments(nowMs);
  }

  /** When `sendAttachments` has something to send, or undefined. */
  get attachmentsDueMs(): number | undefined {
    return this.attachments.dueMs(this.#attachPeriodMs());
  }

  /** Sends changed attachments where they are due. */
  sendAttachments(nowMs: number): void {
    const due = this.attachments.takeDue(
      this.#incarnation,
      this.#attachPeriodMs(),
      refreshPeriodMs(this.#options, this.zoneMap().memberCount),
      nowMs,
    );
    for (const delta of due) {
      this.table.merge(delta);
      this.#spread(delta, this.vm);
    }
  }

  /** Notes that a run of a target is leaving, or that it is a live one. */
  reportTarget(name: string, run: string, condition: TargetCondition): void {
    const known = this.table.targets.get(name);
    if (known?.run === run && known.condition === condition) return;
    // A target that was told to leave stays so until it starts anew.
    const isLeavingRun = known?.run === run &&
      known.condition === TARGET_CONDITION.leaving;
    if (isLeavingRun) return;
    if (!known && condition === TARGET_CONDITION.live) return;
    this.#apply(["t", name, run, condition, (known?.stamp ?? 0) + 1], this.vm);
  }

  /** Tells which of the targets that this daemon probes do not answer. */
  reportDown(names: readonly string[], nowMs: number): void {
    const before = this.attachments.get(DOWN_TARGETS_KEY);
    if (before === undefined && names.length === 0) return;
    this.attach(DOWN_TARGETS_KEY, [...names].sort(), nowMs);
    if (this.attachments.get(DOWN_TARGETS_KEY) !== before) this.#changed();
  }

  /** Tells the fleet that this daemon takes no more work. */
  leave(): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.#announce();
  }

  /** Takes out the messages that have to be sent. */
  takeMessages(): OutgoingMessage[] {
    return this.#outbox.take();
  }

  /** Notes that `from` is there; false for a VM that is not believed in. */
  #hear(from: string, nowMs: number): boolean {
    const candidate = this.candidates.daemons.get(from);
    if (!candidate) return false;
    this.#monitor.heard(from, nowMs);
    this.#zoneWatch.heard(candidate.availabilityZone, nowMs);
    this.#guard.confirm();
    return true;
  }

  /** Tells a daemon what is believed of it where that is not live. */
  #answerSender(from: string, incarnation: number): void {
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
    for (const delta of this.#mergeAll(deltas)) this.#spread(delta, from);
  }

  #apply(delta: Delta, from: string): void {
    this.#applyAll([delta], from);
  }

  /** Merges changes and gives those that were news. */
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

  /** Answers what others believe of this daemon with a higher incarnation. */
  #refute(
    incarnation: number,
    health: Health,
    suspectedBy: string | undefined,
  ): void {
    if (incarnation < this.#incarnation) return;
    const isOwnWord = incarnation === this.#incarnation &&
      health === HEALTH.live;
    if (isOwnWord) return;
    // The suspecting daemon hears nothing on the connection to it.
    if (suspectedBy !== undefined) this.#outbox.addReset(suspectedBy);
    this.#incarnation = incarnation + 1;
    this.#announce();
  }

  #resume(nowMs: number): void {
    this.#incarnation += 1;
    this.#monitor.reset();
    this.#zoneWatch.reset();
    this.#nextReachOutMs = nowMs;
    this.#hasJoined = false;
    this.#announce();
  }

  #announce(): void {
    const delta = this.#ownDelta();
    this.table.merge(delta);
    this.#changed();
    this.#spread(delta, this.vm);
  }

  #ownDelta(): Delta {
    const leaving = this.#isLeaving ? 1 : 0;
    return ["d", this.vm, this.#incarnation, HEALTH.live, leaving];
  }

  #spread(delta: Delta, from: string): void {
    this.#spreader.spread(delta, from, this.zoneMap());
  }

  #judge(nowMs: number): void {
    const watched = this.zoneMap().predecessors
      .map((vm) => this.table.daemons.get(vm))
      .filter((record) => record !== undefined);
    for (const { record, health } of this.#monitor.judge(watched, nowMs)) {
      const leaving = record.isLeaving ? 1 : 0;
      const { vm, incarnation } = record;
      const delta: Delta = ["d", vm, incarnation, health, leaving, this.vm];
      // The suspect itself must hear of it in any case, to refute.
      this.#outbox.addDelta(vm, delta);
      this.#apply(delta, this.vm);
    }
  }

  #watchZones(nowMs: number): void {
    const heard: string[] = [];
    for (const [zone, receivers] of this.zoneMap().receivers) {
      if (receivers.includes(this.vm)) heard.push(zone);
    }
    const silent = this.#zoneWatch.silentZones(heard, nowMs);
    const before = this.attachments.get(SILENT_ZONES_KEY);
    if (before === undefined && silent.length === 0) return;
    this.attachments.set(SILENT_ZONES_KEY, silent);
    if (this.attachments.get(SILENT_ZONES_KEY) !== before) this.#changed();
  }

  #attachPeriodMs(): number {
    return attachPeriodMs(this.#options, this.zoneMap().memberCount);
  }

  /** Asks daemons that are listed but not live, so that parted ones meet. */
  #reachOut(nowMs: number): void {
    if (nowMs < this.#nextReachOutMs) return;
    const waitMs = this.#hasJoined ? this.#options.reachOutMs : JOIN_RETRY_MS;
    this.#nextReachOutMs = nowMs + waitMs;
    const others = [...this.candidates.daemons.keys()].filter((vm) =>
      vm !== this.vm && (!this.#hasJoined || this.stateOf(vm) === "dead")
    ).sort();
    const fanOut = this.#hasJoined ? 1 : JOIN_FAN_OUT;
    for (let i = 0; i < Math.min(fanOut, others.length); i++) {
      const to = others[this.#reachOutTurn++ % others.length]!;
      this.#outbox.addPull(to, ["", [this.#ownDelta()]]);
    }
  }

  protected override zoneMap(): ZoneMap {
    this.#map ??= createZoneMap(
      this.vm,
      this.zone,
      this.table,
      this.candidates,
      this.#options,
    );
    return this.#map;
  }

  #changed(delta?: Delta): void {
    // Most attachments change all the time and are no part of a state.
    if (delta?.[0] === "a" && !STATE_KEYS.has(delta[4])) return;
    this.#revision += 1;
    if (delta === undefined || delta[0] === "d") this.#map = undefined;
  }
}
