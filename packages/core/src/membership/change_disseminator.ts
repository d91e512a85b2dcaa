import type { Candidates } from "./candidates.ts";
import type { MemberTable } from "./member_table.ts";
import type { Outbox } from "./outbox.ts";
import { type Delta, HEALTH } from "./wire.ts";
import type { ReportLink, ZoneMap } from "./zone_map.ts";

/** Decides to which daemons a newly received change is forwarded. */
export class ChangeDisseminator {
  readonly #zone: string;
  readonly #candidates: Candidates;
  readonly #table: MemberTable;
  readonly #outbox: Outbox;

  constructor(
    zone: string,
    candidates: Candidates,
    table: MemberTable,
    outbox: Outbox,
  ) {
    this.#zone = zone;
    this.#candidates = candidates;
    this.#table = table;
    this.#outbox = outbox;
  }

  /** Forwards a change in the own zone and, as a reporter, to other zones. */
  disseminate(delta: Delta, from: string, map: ZoneMap): void {
    for (const link of map.disseminationLinks) {
      if (link !== from) this.#outbox.addDelta(link, delta);
    }
    if (delta[0] === "d" && delta[3] === HEALTH.suspect) return;
    const sourceZone = this.#candidates.daemons.get(from)?.availabilityZone;
    for (const link of map.reportLinks) {
      if (this.#isSentOver(link, delta, sourceZone)) {
        this.#outbox.addDelta(link.to, delta);
      }
    }
  }

  /** Whether a change from `sourceZone` is sent over a report link. */
  #isSentOver(
    link: ReportLink,
    delta: Delta,
    sourceZone: string | undefined,
  ): boolean {
    const subjectZone = this.#table.zoneOf(delta);
    if (delta[0] === "a") return subjectZone === this.#zone && link.rank === 0;
    // The prober of a target may be in another zone than the target, so the
    // zone of the prober reports the change.
    if (delta[0] === "t") return sourceZone === this.#zone;
    if (subjectZone === this.#zone) return true;
    // A daemon's live state is also sent back to its own zone through other
    // zones, since a small zone has no second path around a bad link.
    return subjectZone === link.zone && delta[3] === HEALTH.live;
  }
}
