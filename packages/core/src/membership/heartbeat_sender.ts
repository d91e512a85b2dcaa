import type { MemberTable } from "./member_table.ts";
import type { MembershipOptions } from "./options.ts";
import type { Outbox } from "./outbox.ts";
import type { Delta } from "./wire.ts";
import type { ZoneMap } from "./zone_map.ts";

/** Sends the heartbeats that are due, each with the digest of one zone. */
export class HeartbeatSender {
  readonly #zone: string;
  readonly #table: MemberTable;
  readonly #outbox: Outbox;
  readonly #options: MembershipOptions;
  #nextHeartbeatMs = Number.NEGATIVE_INFINITY;
  #nextZoneHeartbeatMs = Number.NEGATIVE_INFINITY;
  #heartbeatCount = 0;

  constructor(
    zone: string,
    table: MemberTable,
    outbox: Outbox,
    options: MembershipOptions,
  ) {
    this.#zone = zone;
    this.#table = table;
    this.#outbox = outbox;
    this.#options = options;
  }

  /** Sends the heartbeats that are due, with the `leaving` record, if any. */
  send(
    map: ZoneMap,
    incarnation: number,
    leaving: Delta | undefined,
    nowMs: number,
  ): void {
    if (nowMs >= this.#nextHeartbeatMs) {
      this.#nextHeartbeatMs = nowMs + this.#options.heartbeatMs;
      const zone = this.#nextDigestZone(map.zones);
      for (const to of map.successors) {
        this.#sendOne(to, zone, incarnation, leaving);
      }
    }
    if (nowMs < this.#nextZoneHeartbeatMs) return;
    this.#nextZoneHeartbeatMs = nowMs + this.#options.zoneHeartbeatMs;
    for (const { to } of map.reportLinks) {
      this.#sendOne(to, this.#zone, incarnation, leaving);
    }
  }

  /** Every other digest is of the own zone; the rest rotate over all zones. */
  #nextDigestZone(zones: readonly string[]): string {
    this.#heartbeatCount += 1;
    if (this.#heartbeatCount % 2 === 0) return this.#zone;
    return zones[Math.floor(this.#heartbeatCount / 2) % zones.length] ??
      this.#zone;
  }

  #sendOne(
    to: string,
    zone: string,
    incarnation: number,
    leaving: Delta | undefined,
  ): void {
    const digest = this.#table.digest(zone);
    this.#outbox.addHeartbeat(to, [incarnation, zone, digest]);
    if (leaving) this.#outbox.addDelta(to, leaving);
  }
}
