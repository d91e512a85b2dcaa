import {
  Candidates,
  type DaemonCandidate,
  type FleetList,
} from "./candidates.ts";
import { DigestCheck } from "./digest_check.ts";
import { FailureMonitor } from "./failure_monitor.ts";
import { MemberTable, toDaemonDelta } from "./member_table.ts";
import {
  DEFAULT_MEMBERSHIP_OPTIONS,
  type MembershipOptions,
} from "./options.ts";
import { Outbox } from "./outbox.ts";
import { OwnAttachments } from "./own_attachments.ts";
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
import { createZoneMap, type ReportLink, type ZoneMap } from "./zone_map.ts";
import { ZoneWatch } from "./zone_watch.ts";

/** Attachment that lists the zones which a receiver does not hear. */
const SILENT_ZONES_KEY = "~z";
/** Attachment that lists the targets that do not answer their prober. */
const DOWN_TARGETS_KEY = "~d";
/** Attachments that are part of the state that readers see. */
const STATE_KEYS: ReadonlySet<string> = new Set([
  SILENT_ZONES_KEY,
  DOWN_TARGETS_KEY,
]);
/** Encoded size of an attachment, for the share of the byte budget. */
const ATTACHMENT_BYTES = 60;
/** Daemons for which one refresh period of the attachments is meant. */
const REFRESH_SLICE_DAEMONS = 16;
/** Time between the tries of a daemon that has not reached anyone yet. */
const JOIN_RETRY_MS = 500;
/** Daemons that a joining daemon asks at a time. */
const JOIN_FAN_OUT = 3;
/** Most records of a pulled answer that are passed on to others. */
const MAX_SPREAD_OF_PULL = 32;

/** State of a VM as readers of the membership see it. */
export type MemberState = "live" | "leaving" | "suspect" | "dead";

/** A daemon as this daemon sees it. */
export interface Member {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** Whether the daemon's zone can be heard from this one. */
  readonly isReachable: boolean;
  readonly attached: ReadonlyMap<string, AttachedValue>;
}

/** What a `Membership` is built from. */
export interface MembershipParts {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Higher than that of any earlier run of this VM. */
  readonly incarnation: number;
  readonly seeds: readonly DaemonCandidate[];
  readonly options?: Partial<MembershipOptions>;
}

/**
 * The membership protocol of one daemon: events go in, messages come out.
 * After each event, `takeMessages` gives what has to be sent.
 */
export class Membership {
  readonly #vm: string;
  readonly #zone: string;
  readonly #options: MembershipOptions;
  readonly #candidates: Candidates;
  readonly #table: MemberTable;
  readonly #outbox = new Outbox();
  readonly #monitor: FailureMonitor;
  readonly #zoneWatch: ZoneWatch;
  readonly #guard: PauseGuard;
  readonly #digestCheck: DigestCheck;
  readonly #attachments: OwnAttachments;
  #map: ZoneMap | undefined;
  #incarnation: number;
  #isLeaving = false;
  #hasJoined = false;
  #revision = 0;
  #nextHeartbeatMs = Number.NEGATIVE_INFINITY;
  #nextZoneHeartbeatMs = Number.NEGATIVE_INFINITY;
  #nextReachOutMs = Number.NEGATIVE_INFINITY;
  #reachOutTurn = 0;
  #digestTurn = 0;

  constructor(parts: MembershipParts) {
    this.#vm = parts.vm;
    this.#zone = parts.availabilityZone;
    this.#incarnation = parts.incarnation;
    const options = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...parts.options };
    this.#options = options;
    const { vm, availabilityZone } = parts;
    const self: DaemonCandidate = { vm, availabilityZone, state: "live" };
    this.#candidates = new Candidates(self, parts.seeds);
    this.#table = new MemberTable(this.#candidates);
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
    this.#attachments = new OwnAttachments(vm);
    this.#table.merge(this.#ownDelta());
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
    this.#sendHeartbeats(nowMs);
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
    const isEqual = this.#table.digest(zone) === digest;
    if (!this.#digestCheck.compare(from, zone, isEqual, nowMs)) return;
    const leaving = this.#table.dumpLeavingTargets(zone);
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
    return this.#table.dump(zone);
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
    for (const vm of this.#candidates.apply(list, this.#vm)) {
      this.#table.remove(vm);
      this.#digestCheck.forget(vm);
    }
    this.#table.removeUnlistedTargets();
    this.#changed();
  }

  /** Attaches a small value to this daemon, for all others to read. */
  attach(key: string, value: AttachedValue, nowMs: number): void {
    this.#attachments.set(key, value);
    this.sendAttachments(nowMs);
  }

  /** When `sendAttachments` has something to send, or undefined. */
  get attachmentsDueMs(): number | undefined {
    return this.#attachments.dueMs(this.#attachPeriodMs());
  }

  /** Sends changed attachments where they are due. */
  sendAttachments(nowMs: number): void {
    const slices = this.#zoneMap().memberCount / REFRESH_SLICE_DAEMONS;
    const due = this.#attachments.takeDue(
      this.#incarnation,
      this.#attachPeriodMs(),
      this.#options.attachRefreshMs * Math.max(1, slices),
      nowMs,
    );
    for (const delta of due) {
      this.#table.merge(delta);
      this.#spread(delta, this.#vm);
    }
  }

  /** Notes that a run of a target is leaving, or that it is a live one. */
  reportTarget(name: string, run: string, condition: TargetCondition): void {
    const known = this.#table.targets.get(name);
    if (known?.run === run && known.condition === condition) return;
    // A target that was told to leave stays so until it starts anew.
    const isLeavingRun = known?.run === run &&
      known.condition === TARGET_CONDITION.leaving;
    if (isLeavingRun) return;
    if (!known && condition === TARGET_CONDITION.live) return;
    this.#apply(["t", name, run, condition, (known?.stamp ?? 0) + 1], this.#vm);
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

  /** One daemon; undefined where it never spoke for itself. */
  get(vm: string): Member | undefined {
    const record = this.#table.daemons.get(vm);
    if (!record) return undefined;
    const zone = record.availabilityZone;
    return {
      vm,
      availabilityZone: zone,
      incarnation: record.incarnation,
      state: this.#stateOf(vm),
      isReachable: this.isZoneReachable(zone),
      attached: this.#table.attachedOf(vm),
    };
  }

  /** Every daemon that has spoken for itself, this one included. */
  members(): Member[] {
    return [...this.#table.daemons.keys()].map((vm) => this.get(vm)!);
  }

  /** The value that `vm` attached under `key`. */
  attached(vm: string, key: string): AttachedValue | undefined {
    if (vm === this.#vm) return this.#attachments.get(key);
    return this.#table.attached(vm, key);
  }

  /** Daemons that may hold roles: live or suspect, reachable, not leaving. */
  roleHolders(): Member[] {
    return this.members().filter((member) =>
      member.isReachable &&
      (member.state === "live" || member.state === "suspect")
    );
  }

  /** Names of the other zones that cannot be heard. */
  unreachableZones(): string[] {
    return this.#zoneMap().zones.filter((zone) => !this.isZoneReachable(zone));
  }

  /** Tells which of the targets that this daemon probes do not answer. */
  reportDown(names: readonly string[], nowMs: number): void {
    const before = this.#attachments.get(DOWN_TARGETS_KEY);
    if (before === undefined && names.length === 0) return;
    this.attach(DOWN_TARGETS_KEY, [...names].sort(), nowMs);
    if (this.#attachments.get(DOWN_TARGETS_KEY) !== before) this.#changed();
  }

  /**
   * The state of a target that the VM list names. Whether it is dead is the
   * word of its present prober alone, so that the two sides of a zone cut
   * never have to be brought together about it.
   */
  targetState(
    name: string,
    prober: string | undefined,
  ): "live" | "leaving" | "dead" {
    const condition = this.#table.targets.get(name)?.condition;
    if (condition === TARGET_CONDITION.leaving) return "leaving";
    if (this.#candidates.targets.get(name)?.state === "leaving") {
      return "leaving";
    }
    if (prober === undefined) return "live";
    const down = this.attached(prober, DOWN_TARGETS_KEY);
    return Array.isArray(down) && down.includes(name) ? "dead" : "live";
  }

  /**
   * Tells whether a zone can be heard: whether one of the daemons of this
   * zone that have to hear it does.
   */
  isZoneReachable(zone: string): boolean {
    if (zone === this.#zone) return true;
    const receivers = this.#zoneMap().receivers.get(zone) ?? [];
    if (receivers.length === 0) return true;
    return receivers.some((vm) => {
      const silent = this.attached(vm, SILENT_ZONES_KEY);
      return !Array.isArray(silent) || !silent.includes(zone);
    });
  }

  #stateOf(vm: string): MemberState {
    const record = this.#table.daemons.get(vm);
    if (!record || record.health === HEALTH.dead) return "dead";
    const isListedLeaving =
      this.#candidates.daemons.get(vm)?.state === "leaving";
    if (record.isLeaving || isListedLeaving) return "leaving";
    return record.health === HEALTH.suspect ? "suspect" : "live";
  }

  /** Notes that `from` is there; false for a VM that is not believed in. */
  #hear(from: string, nowMs: number): boolean {
    const candidate = this.#candidates.daemons.get(from);
    if (!candidate) return false;
    this.#monitor.heard(from, nowMs);
    this.#zoneWatch.heard(candidate.availabilityZone, nowMs);
    this.#guard.confirm();
    return true;
  }

  /** Tells a daemon what is believed of it where that is not live. */
  #answerSender(from: string, incarnation: number): void {
    const record = this.#table.daemons.get(from);
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
      if (delta[0] !== "t" && delta[1] === this.#vm) {
        if (delta[0] === "d") this.#refute(delta[2], delta[3], delta[5]);
      } else if (this.#table.merge(delta)) {
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
    this.#table.merge(delta);
    this.#changed();
    this.#spread(delta, this.#vm);
  }

  #ownDelta(): Delta {
    const leaving = this.#isLeaving ? 1 : 0;
    return ["d", this.#vm, this.#incarnation, HEALTH.live, leaving];
  }

  /** Passes a change on in the own zone, and to other zones as a reporter. */
  #spread(delta: Delta, from: string): void {
    const map = this.#zoneMap();
    for (const link of map.spreadLinks) {
      if (link !== from) this.#outbox.addDelta(link, delta);
    }
    if (delta[0] === "d" && delta[3] === HEALTH.suspect) return;
    const source = this.#candidates.daemons.get(from)?.availabilityZone;
    for (const link of map.reportLinks) {
      if (this.#goesTo(link, delta, source)) {
        this.#outbox.addDelta(link.to, delta);
      }
    }
  }

  /** Whether a change that came from zone `source` goes over a report link. */
  #goesTo(link: ReportLink, delta: Delta, source: string | undefined): boolean {
    const home = this.#table.zoneOf(delta);
    if (delta[0] === "a") return home === this.#zone && link.rank === 0;
    // A keeper may stand in for another zone, so its word comes from here.
    if (delta[0] === "t") return source === this.#zone;
    if (home === this.#zone) return true;
    // A daemon's own word also returns to its zone by way of others, since a
    // small zone has no second path past one bad link.
    return home === link.zone && delta[3] === HEALTH.live;
  }

  #sendHeartbeats(nowMs: number): void {
    const map = this.#zoneMap();
    if (nowMs >= this.#nextHeartbeatMs) {
      this.#nextHeartbeatMs = nowMs + this.#options.heartbeatMs;
      // Every other digest is of the own zone, the rest take turns.
      this.#digestTurn += 1;
      const turn = Math.floor(this.#digestTurn / 2) % map.zones.length;
      const other = map.zones[turn] ?? this.#zone;
      const zone = this.#digestTurn % 2 === 0 ? this.#zone : other;
      for (const to of map.successors) this.#sendHeartbeat(to, zone);
    }
    if (nowMs < this.#nextZoneHeartbeatMs) return;
    this.#nextZoneHeartbeatMs = nowMs + this.#options.zoneHeartbeatMs;
    for (const { to } of map.reportLinks) this.#sendHeartbeat(to, this.#zone);
  }

  #sendHeartbeat(to: string, zone: string): void {
    const digest = this.#table.digest(zone);
    this.#outbox.addHeartbeat(to, [this.#incarnation, zone, digest]);
    if (this.#isLeaving) this.#outbox.addDelta(to, this.#ownDelta());
  }

  #judge(nowMs: number): void {
    const watched = this.#zoneMap().predecessors
      .map((vm) => this.#table.daemons.get(vm))
      .filter((record) => record !== undefined);
    for (const { record, health } of this.#monitor.judge(watched, nowMs)) {
      const leaving = record.isLeaving ? 1 : 0;
      const { vm, incarnation } = record;
      const delta: Delta = ["d", vm, incarnation, health, leaving, this.#vm];
      // The suspect itself must hear of it in any case, to refute.
      this.#outbox.addDelta(vm, delta);
      this.#apply(delta, this.#vm);
    }
  }

  #watchZones(nowMs: number): void {
    const heard: string[] = [];
    for (const [zone, receivers] of this.#zoneMap().receivers) {
      if (receivers.includes(this.#vm)) heard.push(zone);
    }
    const silent = this.#zoneWatch.silentZones(heard, nowMs);
    const before = this.#attachments.get(SILENT_ZONES_KEY);
    if (before === undefined && silent.length === 0) return;
    this.#attachments.set(SILENT_ZONES_KEY, silent);
    if (this.#attachments.get(SILENT_ZONES_KEY) !== before) this.#changed();
  }

  /** The fleet's attachments share a byte budget, so more daemons wait longer. */
  #attachPeriodMs(): number {
    const { attachMs, attachBudgetBytesPerSecond } = this.#options;
    const fleetBytes = this.#zoneMap().memberCount * ATTACHMENT_BYTES;
    return Math.max(attachMs, fleetBytes * 1000 / attachBudgetBytesPerSecond);
  }

  /** Asks daemons that are listed but not live, so that parted ones meet. */
  #reachOut(nowMs: number): void {
    if (nowMs < this.#nextReachOutMs) return;
    const waitMs = this.#hasJoined ? this.#options.reachOutMs : JOIN_RETRY_MS;
    this.#nextReachOutMs = nowMs + waitMs;
    const others = [...this.#candidates.daemons.keys()].filter((vm) =>
      vm !== this.#vm && (!this.#hasJoined || this.#stateOf(vm) === "dead")
    ).sort();
    const fanOut = this.#hasJoined ? 1 : JOIN_FAN_OUT;
    for (let i = 0; i < Math.min(fanOut, others.length); i++) {
      const to = others[this.#reachOutTurn++ % others.length]!;
      this.#outbox.addPull(to, ["", [this.#ownDelta()]]);
    }
  }

  #zoneMap(): ZoneMap {
    this.#map ??= createZoneMap(
      this.#vm,
      this.#zone,
      this.#table,
      this.#candidates,
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
