import type { Candidates, DaemonCandidate } from "./candidates.ts";
import { MemberTable } from "./member_table.ts";
import { OwnAttachments } from "./own_attachments.ts";
import { type AttachedValue, HEALTH, TARGET_CONDITION } from "./wire.ts";
import type { ZoneMap } from "./zone_map.ts";

/** Attachment that lists the zones from which a receiver gets no messages. */
export const SILENT_ZONES_KEY = "~z";
/** Attachment that lists the targets that do not respond to their prober. */
export const DOWN_TARGETS_KEY = "~d";

/** State of a VM in the local view of the membership. */
export type MemberState = "live" | "leaving" | "suspect" | "dead";

/** A daemon in the local view of the membership. */
export interface Member {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** Whether messages of the daemon's zone reach the zone of this one. */
  readonly isReachable: boolean;
  readonly attached: ReadonlyMap<string, AttachedValue>;
}

/** The read interface of the membership for the rest of the daemon. */
export abstract class MembershipReader {
  protected readonly vm: string;
  protected readonly zone: string;
  protected readonly candidates: Candidates;
  protected readonly table: MemberTable;
  protected readonly attachments: OwnAttachments;

  constructor(self: DaemonCandidate, candidates: Candidates) {
    this.vm = self.vm;
    this.zone = self.availabilityZone;
    this.candidates = candidates;
    this.table = new MemberTable(candidates);
    this.attachments = new OwnAttachments(self.vm);
  }

  /** One daemon; undefined where it never announced itself. */
  get(vm: string): Member | undefined {
    const record = this.table.daemons.get(vm);
    if (!record) return undefined;
    const zone = record.availabilityZone;
    return {
      vm,
      availabilityZone: zone,
      incarnation: record.incarnation,
      state: this.stateOf(vm),
      isReachable: this.isZoneReachable(zone),
      attached: this.table.attachedOf(vm),
    };
  }

  /** Every daemon that has announced itself, including this one. */
  members(): Member[] {
    return [...this.table.daemons.keys()].map((vm) => this.get(vm)!);
  }

  /** The value that `vm` attached under `key`. */
  attached(vm: string, key: string): AttachedValue | undefined {
    if (vm === this.vm) return this.attachments.get(key);
    return this.table.attached(vm, key);
  }

  /** Daemons that may hold roles: live or suspect, reachable, not leaving. */
  roleHolders(): Member[] {
    return this.members().filter((member) =>
      member.isReachable &&
      (member.state === "live" || member.state === "suspect")
    );
  }

  /** Names of the other zones from which no messages arrive. */
  unreachableZones(): string[] {
    return this.zoneMap().zones.filter((zone) => !this.isZoneReachable(zone));
  }

  /**
   * The state of a target that is on the VM list. Only its current prober
   * decides whether it is dead, so the two sides of a zone partition never have
   * to be reconciled about it.
   */
  targetState(
    name: string,
    prober: string | undefined,
  ): "live" | "leaving" | "dead" {
    const condition = this.table.targets.get(name)?.condition;
    if (condition === TARGET_CONDITION.leaving) return "leaving";
    if (this.candidates.targets.get(name)?.state === "leaving") {
      return "leaving";
    }
    if (prober === undefined) return "live";
    const down = this.attached(prober, DOWN_TARGETS_KEY);
    return Array.isArray(down) && down.includes(name) ? "dead" : "live";
  }

  /**
   * Whether at least one receiver in this zone gets the messages of `zone`. Also
   * true for the own zone and for a zone without receivers here.
   */
  isZoneReachable(zone: string): boolean {
    if (zone === this.zone) return true;
    const receivers = this.zoneMap().receivers.get(zone) ?? [];
    if (receivers.length === 0) return true;
    return receivers.some((vm) => {
      const silent = this.attached(vm, SILENT_ZONES_KEY);
      return !Array.isArray(silent) || !silent.includes(zone);
    });
  }

  /** Whether another process is known to run under the target's name. */
  protected hasOtherIncarnation(name: string, incarnation: string): boolean {
    const record = this.table.targets.get(name);
    return record !== undefined && record.incarnation !== incarnation;
  }

  /** The state of a daemon that may not have announced itself. */
  protected stateOf(vm: string): MemberState {
    const record = this.table.daemons.get(vm);
    if (!record || record.health === HEALTH.dead) return "dead";
    const isListedLeaving =
      this.candidates.daemons.get(vm)?.state === "leaving";
    if (record.isLeaving || isListedLeaving) return "leaving";
    return record.health === HEALTH.suspect ? "suspect" : "live";
  }

  /** The current links of this daemon. */
  protected abstract zoneMap(): ZoneMap;
}
