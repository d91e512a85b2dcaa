import {
  decodeReport,
  encodeReport,
  type KeeperBook,
  type PoolLoadReport,
} from "@coltsfootford/core";
import { z } from "zod";
import type { Blackboard, FieldWriter } from "../blackboard/index.ts";
import type { KeeperMembership } from "./keeper_membership.ts";

/** Key of the attachment that carries the loads of a keeper's targets. */
const LOADS_KEY = "l";
/** Unchanged loads are told again after this time, so that they stay fresh. */
const LOADS_REPEAT_MS = 500;

const reportsSchema = z.array(
  z.tuple([z.string(), z.array(z.int()), z.number(), z.int()]),
);

/** Tells the loads of this daemon's targets and reads those of the others. */
export class LoadReports {
  readonly #vm: string;
  readonly #membership: KeeperMembership;
  readonly #book: KeeperBook;
  readonly #blackboard: Blackboard;
  readonly #loads: FieldWriter<ReadonlyMap<string, number>>;
  readonly #lastMeasuredAtMs = new Map<string, number>();
  #sentAtMs = 0;
  #sentLoads = "";

  constructor(
    vm: string,
    membership: KeeperMembership,
    book: KeeperBook,
    blackboard: Blackboard,
  ) {
    this.#vm = vm;
    this.#blackboard = blackboard;
    this.#loads = blackboard.targetLoads.claimWriter("keepers");
    this.#membership = membership;
    this.#book = book;
  }

  /** Loads of this daemon's targets, for the pools of which it keeps some. */
  own(pools: Iterable<string>, nowMs: number): PoolLoadReport[] {
    return [...pools].map((pool) => this.#book.ownReport(pool, nowMs))
      .filter((report) => report.loadsRequests.length > 0);
  }

  /** Reads what others attached, and attaches what changed here. */
  exchange(pools: Iterable<string>, nowMs: number): void {
    for (const member of this.#membership.members()) {
      if (member.vm === this.#vm || !member.isReachable) continue;
      this.#read(member.vm, nowMs);
    }
    const own = this.own(pools, nowMs);
    this.#showLoads(this.#vm, own);
    this.#tell(own, nowMs);
  }

  /** A report lists loads in order of names; it may be of an older view. */
  #showLoads(vm: string, reports: readonly PoolLoadReport[]): void {
    const loads = new Map(this.#blackboard.targetLoads.read());
    for (const { pool, loadsRequests } of reports) {
      const names = this.#keptBy(vm, pool);
      if (names.length !== loadsRequests.length) continue;
      names.forEach((name, index) => loads.set(name, loadsRequests[index]!));
    }
    this.#loads.write(loads);
  }

  #keptBy(vm: string, pool: string): string[] {
    const targets = this.#blackboard.targets.read();
    const names: string[] = [];
    for (const [name, keeper] of this.#blackboard.keepers.read()) {
      if (keeper.vm === vm && targets.get(name)?.pool === pool) {
        names.push(name);
      }
    }
    return names.sort();
  }

  #read(vm: string, nowMs: number): void {
    const attached = this.#membership.attached(vm, LOADS_KEY);
    const parsed = reportsSchema.safeParse(attached);
    const first = parsed.data?.[0];
    if (!first) return;
    const measuredAtMs = first[3];
    const lastMs = this.#lastMeasuredAtMs.get(vm);
    if (lastMs === measuredAtMs) return;
    // A restarted daemon counts its time from another start.
    if (lastMs !== undefined && measuredAtMs < lastMs) {
      this.#book.forgetKeeper(vm);
    }
    this.#lastMeasuredAtMs.set(vm, measuredAtMs);
    const reports = (parsed.data ?? []).map(decodeReport);
    for (const report of reports) this.#book.notePoolReport(vm, report, nowMs);
    this.#showLoads(vm, reports);
  }

  #tell(reports: readonly PoolLoadReport[], nowMs: number): void {
    const loads = JSON.stringify(reports.map((it) => it.loadsRequests));
    const isIdle = reports.every((report) =>
      report.loadsRequests.every((load) => load === 0)
    );
    const isRepeatDue = !isIdle && nowMs - this.#sentAtMs >= LOADS_REPEAT_MS;
    if (loads === this.#sentLoads && !isRepeatDue) return;
    this.#sentLoads = loads;
    this.#sentAtMs = nowMs;
    this.#membership.attach(LOADS_KEY, reports.map(encodeReport));
  }
}
