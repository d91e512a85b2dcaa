import { describe, expect, it } from "@jest/globals";
import type { SlotLineSettings } from "./slot_line.ts";
import {
  ArrivalOrder,
  EarliestDeadline,
  FairByTeam,
  LeastSlack,
  RandomRejection,
  ValuePerWork,
} from "./testing/compared_orders.ts";
import { LOADS, staleViews } from "./testing/loads.ts";
import { type KindFigures, type Load, Replay } from "./testing/replay.ts";

type CreateSettings = () => Partial<SlotLineSettings>;

/** Queue of the targets today, where the newest request is rejected. */
const TODAY_WAITING = 24;
const cost: CreateSettings = () => ({});
const COMPARED: Record<string, CreateSettings> = {
  arrival: () => ({ order: new ArrivalOrder(), maxWaiting: TODAY_WAITING }),
  random: () => ({ order: new RandomRejection(), maxWaiting: TODAY_WAITING }),
};
/** Other ways that the design document weighs, only for its figures. */
const WEIGHED: Record<string, CreateSettings> = {
  deadline: () => ({ order: new EarliestDeadline() }),
  slack: () => ({ order: new LeastSlack() }),
  density: () => ({ order: new ValuePerWork() }),
  fair: () => ({ order: new FairByTeam() }),
};
/** The end of a surge cannot be foreseen, so a few rejections are needless. */
const MAX_NEEDLESS_SHARE = 0.001;

type Figures = Map<string, KindFigures>;

function valueOf(figures: Figures): number {
  return sum(figures, ({ value }) => value);
}

function sum(figures: Figures, of: (kind: KindFigures) => number): number {
  return [...figures.values()].reduce((total, kind) => total + of(kind), 0);
}

function quantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
}

/** Prints a row of the table in the design document for each kind. */
function print(load: string, way: string, figures: Figures): void {
  if (!process.env["PRINT_FIGURES"]) return;
  for (const [name, kind] of figures) {
    const share = (count: number) => (count / kind.offered).toFixed(2);
    const cells = [
      load,
      way,
      name,
      kind.offered,
      share(kind.served),
      share(kind.inTime),
      kind.value.toFixed(0),
      quantile(kind.waitsMs, 0.5),
      quantile(kind.waitsMs, 0.99),
      kind.needless,
      quantile(kind.rejectedAfterMs, 0.5),
      quantile(kind.rejectedAfterMs, 0.99),
      share(kind.attempts),
    ];
    process.stdout.write(`| ${cells.join(" | ")} |\n`);
  }
}

/** Replays the load and checks what holds under each load. */
function compare(name: string, load: Load): Figures {
  const byCost = new Replay(load, cost).run();
  const offered = sum(byCost, ({ offered }) => offered);
  print(name, "cost", byCost);
  for (const [way, create] of Object.entries(COMPARED)) {
    const other = new Replay(load, create).run();
    print(name, way, other);
    expect(valueOf(byCost)).toBeGreaterThanOrEqual(valueOf(other));
    const needless = ({ needless }: KindFigures) => needless;
    expect(sum(byCost, needless)).toBeLessThanOrEqual(
      sum(other, needless) + MAX_NEEDLESS_SHARE * offered,
    );
  }
  if (process.env["PRINT_FIGURES"] && !load.targets) {
    for (const [way, create] of Object.entries(WEIGHED)) {
      print(name, way, new Replay(load, create).run());
    }
  }
  const served = ({ served }: KindFigures) => served;
  const allShare = sum(byCost, served) / offered;
  for (const { name, deadlineMs } of load.kinds) {
    const kind = byCost.get(name)!;
    expect(kind.served / kind.offered).toBeGreaterThanOrEqual(allShare / 4);
    // Rejections must not be held back until near the deadline.
    const rejectedMs = (share: number) => quantile(kind.rejectedAfterMs, share);
    expect(rejectedMs(0.5)).toBeLessThanOrEqual(deadlineMs / 10);
    expect(rejectedMs(0.99)).toBeLessThanOrEqual(deadlineMs / 2);
  }
  return byCost;
}

function inTimeShare(figures: Figures, name: string): number {
  const { inTime, offered } = figures.get(name)!;
  return inTime / offered;
}

describe("The order by cost", () => {
  // 60 urgent requests a second, 200 others a second for 5 s, room for 140.
  it("keeps urgent requests in time beside a surge", () => {
    const figures = compare("surge", LOADS.surge);
    expect(inTimeShare(figures, "urgent")).toBeGreaterThan(0.95);
  });

  // A team sends 250 requests a second, another one 30, room for 140.
  it("serves the team beside a hot one no worse than the hot one", () => {
    const figures = compare("hot team", LOADS.hotTeam);
    expect(inTimeShare(figures, "other")).toBeGreaterThan(
      inTimeShare(figures, "hot") * 0.9,
    );
  });

  // 330 requests a second, room for 419, and for 279 from 4 s on.
  it("keeps urgent requests in time when a third of the targets is lost", () => {
    const figures = compare("targets lost", LOADS.targetsLost);
    expect(inTimeShare(figures, "urgent")).toBeGreaterThan(0.95);
  });

  // 400 clients return within 10 ms beside 60 urgent requests a second.
  it("spreads clients that all return at once", () => {
    const figures = compare("all returning", LOADS.allReturning);
    expect(inTimeShare(figures, "urgent")).toBeGreaterThan(0.9);
    const { served, offered } = figures.get("patient")!;
    expect(served / offered).toBeGreaterThan(0.95);
  });

  // 200 requests a second, room for 140; half repeat 10 ms after a rejection.
  it("gives clients that repeat without waiting no great advantage", () => {
    const figures = compare("repeating", LOADS.repeating);
    expect(inTimeShare(figures, "waiting")).toBeGreaterThan(
      inTimeShare(figures, "repeating") * 0.75,
    );
  });

  // 90 short requests a second need 3.9 of 6 slots, long ones of 1 s need 6.
  it("does not let long prompts delay short ones", () => {
    const figures = compare("long prompts", LOADS.longPrompts);
    expect(inTimeShare(figures, "short")).toBeGreaterThan(0.9);
  });

  // 200 urgent, 40 requests of rank 9 and 3 large ones a second, room for 140.
  it("starves no team, rank or size", () => {
    compare("starvation", LOADS.starvation);
  });

  // 192 requests a second need 8 of the 18 slots of three targets.
  it.each([6, 85, 138])(
    "rejects none with stale views of %i daemons",
    (count) => {
      const load = staleViews(count, 192);
      const byCost = compare(`stale, ${count}`, load);
      const alone = new Replay(load).run();
      print(`stale, ${count}`, "each daemon", alone);
      const rejected = (figures: Figures) =>
        sum(figures, ({ rejectedAfterMs }) => rejectedAfterMs.length);
      expect(rejected(byCost)).toBe(0);
      expect(valueOf(byCost)).toBeGreaterThanOrEqual(valueOf(alone));
    },
  );

  // 500 requests a second, room for 419, from daemons with stale views.
  it.each([6, 85, 138])("keeps urgent ones in time at %i daemons", (count) => {
    const load = staleViews(count, 500);
    const byCost = compare(`scarce, ${count}`, load);
    const alone = new Replay(load).run();
    print(`scarce, ${count}`, "each daemon", alone);
    expect(inTimeShare(byCost, "urgent")).toBeGreaterThan(0.9);
    expect(valueOf(byCost)).toBeGreaterThan(valueOf(alone));
  });
});
