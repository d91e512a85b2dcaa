import type { Candidates } from "./candidates.ts";
import type { MemberTable } from "./member_table.ts";
import type { Outbox } from "./outbox.ts";
import { type Delta, HEALTH } from "./wire.ts";
import type { ReportLink, ZoneMap } from "./zone_map.ts";

/** Decides to whom a daemon passes a change on that was news to it. */
export class ChangeSpreader {
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

  /** Passes a change on in the own zone, and to other zones as a reporter. */
  spread(delta: Delta, from: string, map: ZoneMap): void {
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
    // A prober may stand in for another zone, so its word comes from here.
    if (delta[0] === "t") return source === this.#zone;
    if (home === this.#zone) return true;
    // A daemon's own word also returns to its zone by way of others, since a
    // small zone has no second path past one bad link.
    return home === link.zone && delta[3] === HEALTH.live;
  }
}
