import { hash32, mixHash32 } from "../hash/index.ts";
import type { Candidates } from "./candidates.ts";
import {
  type AttachedValue,
  type AttachmentDelta,
  type DaemonDelta,
  type Delta,
  HEALTH,
  type Health,
  TARGET_CONDITION,
  type TargetCondition,
  type TargetDelta,
} from "./wire.ts";

/** The record of a daemon that has announced itself at least once. */
export interface DaemonRecord {
  readonly vm: string;
  readonly availabilityZone: string;
  incarnation: number;
  health: Health;
  isLeaving: boolean;
  suspectedBy: string | undefined;
}

/** The reported condition of the current incarnation of one target. */
export interface TargetRecord {
  readonly name: string;
  /** Identifies the incarnation of the target's process. */
  incarnation: string;
  condition: TargetCondition;
  stamp: number;
}

interface Attachment {
  incarnation: number;
  version: number;
  value: AttachedValue;
}

/**
 * The records of daemons, targets and attachments. Merging is idempotent and
 * commutative, so daemons that receive the same changes converge to the same
 * table.
 */
export class MemberTable {
  readonly #candidates: Candidates;
  readonly daemons = new Map<string, DaemonRecord>();
  readonly targets = new Map<string, TargetRecord>();
  readonly #attachments = new Map<string, Map<string, Attachment>>();

  constructor(candidates: Candidates) {
    this.#candidates = candidates;
  }

  /** Merges one delta and returns whether anything changed. */
  merge(delta: Delta): boolean {
    if (delta[0] === "d") return this.#mergeDaemon(delta);
    if (delta[0] === "t") return this.#mergeTarget(delta);
    return this.#mergeAttachment(delta);
  }

  /** Removes a daemon that is no longer on the VM list. */
  remove(vm: string): void {
    this.daemons.delete(vm);
    this.#attachments.delete(vm);
  }

  /** Removes targets that are no longer on the VM list. */
  removeUnlistedTargets(): void {
    for (const name of this.targets.keys()) {
      if (!this.#candidates.targets.has(name)) this.targets.delete(name);
    }
  }

  /** The value that `vm` attached under `key`. */
  attached(vm: string, key: string): AttachedValue | undefined {
    return this.#attachments.get(vm)?.get(key)?.value;
  }

  /** All values that `vm` attached, by key. */
  attachedOf(vm: string): ReadonlyMap<string, AttachedValue> {
    const entries = this.#attachments.get(vm) ?? new Map<string, Attachment>();
    return new Map([...entries].map(([key, entry]) => [key, entry.value]));
  }

  /** All records of a zone as deltas, or of every zone for "". */
  dump(zone: string): Delta[] {
    const deltas: Delta[] = [];
    for (const record of this.daemons.values()) {
      if (zone !== "" && record.availabilityZone !== zone) continue;
      deltas.push(toDaemonDelta(record));
      for (const [key, entry] of this.#attachments.get(record.vm) ?? []) {
        const { incarnation, version, value } = entry;
        deltas.push(["a", record.vm, incarnation, version, key, value]);
      }
    }
    for (const record of this.targets.values()) {
      const targetZone = this.#candidates.targets.get(record.name)
        ?.availabilityZone;
      if (zone !== "" && targetZone !== zone) continue;
      deltas.push(toTargetDelta(record));
    }
    return deltas;
  }

  /** The leaving targets of a zone as deltas. */
  dumpLeavingTargets(zone: string): Delta[] {
    const deltas: Delta[] = [];
    for (const record of this.targets.values()) {
      if (record.condition !== TARGET_CONDITION.leaving) continue;
      const targetZone = this.#candidates.targets.get(record.name)
        ?.availabilityZone;
      if (targetZone === zone) deltas.push(toTargetDelta(record));
    }
    return deltas;
  }

  /** A hash of a zone's records, which is equal for equal records. */
  digest(zone: string): number {
    let sum = 0;
    for (const record of this.daemons.values()) {
      if (record.availabilityZone !== zone) continue;
      if (record.health === HEALTH.dead) continue;
      const state = record.incarnation * 2 + (record.isLeaving ? 1 : 0);
      sum = (sum + mixHash32(hash32(record.vm), state)) >>> 0;
    }
    for (const record of this.targets.values()) {
      const targetZone = this.#candidates.targets.get(record.name)
        ?.availabilityZone;
      if (targetZone !== zone || record.condition === TARGET_CONDITION.live) {
        continue;
      }
      const state = hash32(record.incarnation) + record.condition;
      sum = (sum + mixHash32(hash32(record.name), state)) >>> 0;
    }
    return sum;
  }

  /** The zone of a delta's daemon or target; undefined where unknown. */
  zoneOf(delta: Delta): string | undefined {
    if (delta[0] !== "t") {
      return this.#candidates.daemons.get(delta[1])?.availabilityZone;
    }
    return this.#candidates.targets.get(delta[1])?.availabilityZone;
  }

  #mergeDaemon(delta: DaemonDelta): boolean {
    const [, vm, incarnation, health, leaving, suspectedBy] = delta;
    const candidate = this.#candidates.daemons.get(vm);
    if (!candidate) return false;
    const record = this.daemons.get(vm);
    if (record && incarnation < record.incarnation) return false;
    if (!record || incarnation > record.incarnation) {
      this.daemons.set(vm, {
        vm,
        availabilityZone: candidate.availabilityZone,
        incarnation,
        health,
        isLeaving: leaving === 1,
        suspectedBy,
      });
      return true;
    }
    const isWorse = health > record.health;
    const startsToLeave = leaving === 1 && !record.isLeaving;
    if (!isWorse && !startsToLeave) return false;
    if (isWorse) {
      record.health = health;
      record.suspectedBy = suspectedBy;
    }
    if (startsToLeave) record.isLeaving = true;
    return true;
  }

  #mergeTarget(delta: TargetDelta): boolean {
    const [, name, incarnation, condition, stamp] = delta;
    if (!this.#candidates.targets.has(name)) return false;
    const record = this.targets.get(name);
    if (!record) {
      this.targets.set(name, { name, incarnation, condition, stamp });
      return true;
    }
    const isNewer = isNewerTarget(delta, record);
    if (incarnation !== record.incarnation) {
      if (!isNewer) return false;
      Object.assign(record, { incarnation, condition, stamp });
      return true;
    }
    const merged = {
      condition: mergeCondition(record.condition, condition, isNewer),
      stamp: Math.max(record.stamp, stamp),
    };
    const hasChanged = merged.condition !== record.condition ||
      merged.stamp !== record.stamp;
    Object.assign(record, merged);
    return hasChanged;
  }

  #mergeAttachment(delta: AttachmentDelta): boolean {
    const [, vm, incarnation, version, key, value] = delta;
    if (!this.#candidates.daemons.has(vm)) return false;
    const entries = this.#attachments.get(vm) ?? new Map<string, Attachment>();
    this.#attachments.set(vm, entries);
    const entry = entries.get(key);
    if (entry && entry.incarnation > incarnation) return false;
    const isSameIncarnation = entry?.incarnation === incarnation;
    if (entry && isSameIncarnation && entry.version >= version) return false;
    entries.set(key, { incarnation, version, value });
    return true;
  }
}

/** The delta that carries a daemon's record. */
export function toDaemonDelta(record: DaemonRecord): DaemonDelta {
  const { vm, incarnation, health, isLeaving, suspectedBy } = record;
  const leaving = isLeaving ? 1 : 0;
  if (suspectedBy === undefined) return ["d", vm, incarnation, health, leaving];
  return ["d", vm, incarnation, health, leaving, suspectedBy];
}

/** The delta that carries a target's record. */
export function toTargetDelta(record: TargetRecord): TargetDelta {
  return ["t", record.name, record.incarnation, record.condition, record.stamp];
}

/** Orders by stamp, incarnation and condition, so that all daemons agree. */
function isNewerTarget(delta: TargetDelta, record: TargetRecord): boolean {
  const [, , incarnation, condition, stamp] = delta;
  if (stamp !== record.stamp) return stamp > record.stamp;
  if (incarnation !== record.incarnation) {
    return incarnation > record.incarnation;
  }
  return condition > record.condition;
}

/** A target stays leaving within one incarnation, whatever the stamps are. */
function mergeCondition(
  current: TargetCondition,
  received: TargetCondition,
  isReceivedNewer: boolean,
): TargetCondition {
  const { leaving } = TARGET_CONDITION;
  if (current === leaving || received === leaving) return leaving;
  return isReceivedNewer ? received : current;
}
