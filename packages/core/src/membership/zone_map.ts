import type { Candidates } from "./candidates.ts";
import type { MemberTable } from "./member_table.ts";
import type { MembershipOptions } from "./options.ts";
import {
  disseminationLinksOf,
  predecessorsOf,
  rolesByZone,
  successorsOf,
} from "./topology.ts";
import { HEALTH } from "./wire.ts";

/** A link to one other zone: its receiver there and this daemon's rank. */
export interface ReportLink {
  readonly zone: string;
  readonly to: string;
  /** Zero for the first reporter of the zone. */
  readonly rank: number;
}

/** The links of one daemon, computed from the members that are not dead. */
export interface ZoneMap {
  /** Names of the zones that have candidates, sorted. */
  readonly zones: readonly string[];
  /** Sorted names of the members of the own zone that are not dead. */
  readonly ownZone: readonly string[];
  readonly successors: readonly string[];
  readonly predecessors: readonly string[];
  readonly disseminationLinks: readonly string[];
  readonly reportLinks: readonly ReportLink[];
  /** By other zone, the daemons of the own zone that get its messages. */
  readonly receivers: ReadonlyMap<string, readonly string[]>;
  /** Members of all zones that are not dead. */
  readonly memberCount: number;
}

/** Computes the links of `self`. */
export function createZoneMap(
  self: string,
  zone: string,
  table: MemberTable,
  candidates: Candidates,
  options: MembershipOptions,
): ZoneMap {
  const membersByZone = groupMembers(table, candidates);
  const zones = [...membersByZone.keys()].sort();
  const ownZone = (membersByZone.get(zone) ?? []).sort();
  const count = options.reporterCount;
  const others = zones.filter((other) => other !== zone);
  const reporters = rolesByZone("report", zone, others, ownZone, count);
  const receivers = rolesByZone("receive", zone, others, ownZone, count);
  const reportLinks: ReportLink[] = [];
  let memberCount = ownZone.length;
  for (const other of others) {
    const members = membersByZone.get(other) ?? [];
    memberCount += members.length;
    const rank = reporters.get(other)?.indexOf(self) ?? -1;
    if (rank < 0) continue;
    const possibleReceivers = members.length > 0
      ? members
      : candidatesOf(other, candidates);
    const otherReceivers = rolesByZone(
      "receive",
      other,
      zones.filter((name) => name !== other),
      possibleReceivers,
      count,
    ).get(zone) ?? [];
    const to = otherReceivers[rank % otherReceivers.length];
    if (to) reportLinks.push({ zone: other, to, rank });
  }
  return {
    zones,
    ownZone,
    successors: successorsOf(self, ownZone, options.successorCount),
    predecessors: predecessorsOf(self, ownZone, options.successorCount),
    disseminationLinks: disseminationLinksOf(
      self,
      ownZone,
      options.successorCount,
    ),
    reportLinks,
    receivers,
    memberCount,
  };
}

function groupMembers(
  table: MemberTable,
  candidates: Candidates,
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const candidate of candidates.daemons.values()) {
    const group = groups.get(candidate.availabilityZone) ?? [];
    groups.set(candidate.availabilityZone, group);
    const record = table.daemons.get(candidate.vm);
    if (record && record.health !== HEALTH.dead) group.push(candidate.vm);
  }
  return groups;
}

function candidatesOf(zone: string, candidates: Candidates): string[] {
  return [...candidates.daemons.values()]
    .filter((candidate) => candidate.availabilityZone === zone)
    .map((candidate) => candidate.vm);
}
