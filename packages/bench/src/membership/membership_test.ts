import { describe, expect, it } from "@jest/globals";
import { HEALTH, TARGET_CONDITION } from "@coltsfootford/core";
import { FakeFleet } from "./fake_fleet.ts";
import { CLEAN_LINKS, LOSSY_LINKS } from "./fake_link.ts";

const TODAY = { zones: 3, daemonsPerZone: 2, targetsPerZone: 5 };
/** Within this time a leaving VM gets no new work anywhere. */
const LEAVING_BOUND_MS = 3000;

function startFleet(overrides = {}): FakeFleet {
  const fleet = new FakeFleet({
    ...TODAY,
    links: CLEAN_LINKS,
    seed: 1,
    ...overrides,
  });
  fleet.advance(5000);
  return fleet;
}

function everyone(
  fleet: FakeFleet,
  condition: (vm: string) => boolean,
): boolean {
  return fleet.running().every((daemon) => condition(daemon.vm));
}

function seesState(fleet: FakeFleet, by: string, of: string): unknown {
  return fleet.daemon(by).membership.get(of)?.state;
}

describe("Membership in a fleet", () => {
  it.each([[3, 2], [4, 1], [1, 1], [2, 40]])(
    "sees everyone live with %i zones of %i daemons",
    (zones, daemonsPerZone) => {
      const fleet = startFleet({ zones, daemonsPerZone });
      const isWhole = () =>
        everyone(fleet, (vm) => {
          const holders = fleet.daemon(vm).membership.roleHolders();
          return holders.length === zones * daemonsPerZone &&
            holders.every((member) => member.state === "live");
        });
      expect(fleet.timeUntil(isWhole, 30_000)).toBeDefined();
    },
  );

  it("believes a death everywhere, and the next run of the VM", () => {
    const fleet = startFleet();
    fleet.kill("entry-1-0", true);
    const dead = () =>
      everyone(fleet, (vm) => seesState(fleet, vm, "entry-1-0") === "dead");
    expect(fleet.timeUntil(dead, 10_000)).toBeDefined();
    fleet.restart("entry-1-0");
    const live = () =>
      everyone(fleet, (vm) => seesState(fleet, vm, "entry-1-0") === "live");
    expect(fleet.timeUntil(live, 10_000)).toBeDefined();
  });

  it("lets a suspected daemon refute with a higher incarnation", () => {
    const fleet = startFleet({ daemonsPerZone: 3 });
    const suspect = fleet.daemon("entry-0-1");
    const before = suspect.membership.incarnation;
    const accuser = fleet.daemon("entry-0-0");
    accuser.membership.receiveChanges("entry-0-2", [
      ["d", "entry-0-1", before, HEALTH.suspect, 0, "entry-0-2"],
    ], fleet.timer.nowMs());
    fleet.flush(accuser);
    fleet.advance(3000);
    expect(suspect.membership.incarnation).toBeGreaterThan(before);
    expect(
      everyone(fleet, (vm) => seesState(fleet, vm, "entry-0-1") === "live"),
    )
      .toBe(true);
  });

  it("lets the pair of a small zone refute past one dead link", () => {
    const fleet = startFleet();
    fleet.blockLink("entry-0-1", "entry-0-0");
    const incarnation = fleet.daemon("entry-0-1").membership.incarnation;
    for (let second = 0; second < 60; second++) {
      fleet.advance(1000);
      expect(seesState(fleet, "entry-0-0", "entry-0-1")).not.toBe("dead");
    }
    expect(fleet.daemon("entry-0-1").membership.incarnation)
      .toBeGreaterThan(incarnation);
  });

  it("spreads a leaving daemon and a leaving target within the bound", () => {
    const fleet = startFleet({ links: LOSSY_LINKS, seed: 7 });
    fleet.daemon("entry-2-1").membership.leave();
    const owner = fleet.daemon("entry-0-0").membership;
    owner.reportTarget("target-0-3", "run", TARGET_CONDITION.leaving);
    const isKnown = () =>
      everyone(fleet, (vm) =>
        seesState(fleet, vm, "entry-2-1") === "leaving" &&
        fleet.daemon(vm).membership.targetState("target-0-3", undefined) ===
          "leaving");
    expect(fleet.timeUntil(isKnown, LEAVING_BOUND_MS)).toBeDefined();
  });

  it("never takes a leaving target back within the same run", () => {
    const fleet = startFleet();
    const owner = fleet.daemon("entry-0-0").membership;
    owner.reportTarget("target-0-3", "run-1", TARGET_CONDITION.leaving);
    owner.reportTarget("target-0-3", "run-1", TARGET_CONDITION.live);
    expect(owner.targetState("target-0-3", undefined)).toBe("leaving");
    owner.reportTarget("target-0-3", "run-2", TARGET_CONDITION.live);
    fleet.advance(3000);
    expect(
      everyone(
        fleet,
        (vm) =>
          fleet.daemon(vm).membership.targetState("target-0-3", undefined) ===
            "live",
      ),
    )
      .toBe(true);
  });

  it("holds the roles of a cut zone apart and joins it again after", () => {
    const fleet = startFleet();
    fleet.cut(["zone-1"]);
    const isApart = () =>
      everyone(fleet, (vm) => {
        const { availabilityZone, membership } = fleet.daemon(vm);
        return membership.roleHolders().every((member) =>
          (member.availabilityZone === "zone-1") ===
            (availabilityZone === "zone-1")
        );
      });
    expect(fleet.timeUntil(isApart, 20_000)).toBeDefined();
    // What changes during the cut has to arrive after it.
    fleet.daemon("entry-1-0").membership.leave();
    fleet.advance(30_000);
    fleet.cut([]);
    const isWhole = () =>
      everyone(
        fleet,
        (vm) =>
          fleet.daemon(vm).membership.roleHolders().length === 5 &&
          seesState(fleet, vm, "entry-1-0") === "leaving",
      );
    expect(fleet.timeUntil(isWhole, 20_000)).toBeDefined();
  });

  it("takes the word of the present prober for a target's death", () => {
    const fleet = startFleet();
    const stateOf = (vm: string, prober: string) =>
      fleet.daemon(vm).membership.targetState("target-1-0", prober);
    const standIn = fleet.daemon("entry-2-0");
    standIn.membership.reportDown(["target-1-0"], fleet.timer.nowMs());
    fleet.flush(standIn);
    const isKnown = () =>
      everyone(fleet, (vm) => stateOf(vm, "entry-2-0") === "dead");
    expect(fleet.timeUntil(isKnown, 1000)).toBeDefined();
    expect(everyone(fleet, (vm) => stateOf(vm, "entry-1-0") === "live"))
      .toBe(true);
    standIn.membership.reportDown([], fleet.timer.nowMs());
    fleet.flush(standIn);
    expect(fleet.timeUntil(() => !isKnown(), 1000)).toBeDefined();
  });

  it("brings a drain of a cut zone to the others after the heal", () => {
    const fleet = startFleet();
    fleet.cut(["zone-1"]);
    fleet.advance(10_000);
    const inside = fleet.daemon("entry-1-0");
    inside.membership.reportTarget("target-0-1", "run", 1);
    fleet.flush(inside);
    fleet.advance(10_000);
    fleet.cut([]);
    const isKnown = () =>
      everyone(
        fleet,
        (vm) =>
          fleet.daemon(vm).membership.targetState("target-0-1", undefined) ===
            "leaving",
      );
    expect(fleet.timeUntil(isKnown, 30_000)).toBeDefined();
  });

  it("takes the mandate from a paused daemon until it has rejoined", () => {
    const fleet = startFleet();
    const { membership } = fleet.daemon("entry-0-0");
    const before = membership.incarnation;
    fleet.pause("entry-0-0");
    fleet.advance(10_000);
    expect(membership.isMandateValid(fleet.timer.nowMs())).toBe(false);
    expect(seesState(fleet, "entry-0-1", "entry-0-0")).toBe("dead");
    fleet.resume("entry-0-0");
    const isBack = () =>
      membership.isMandateValid(fleet.timer.nowMs()) &&
      everyone(fleet, (vm) => seesState(fleet, vm, "entry-0-0") === "live");
    expect(fleet.timeUntil(isBack, 10_000)).toBeDefined();
    expect(membership.incarnation).toBeGreaterThan(before);
    expect(seesState(fleet, "entry-0-0", "entry-0-1")).toBe("live");
  });

  it("carries a changed attachment to every daemon in 250 ms", () => {
    const fleet = startFleet();
    const from = fleet.daemon("entry-1-1");
    for (let value = 1; value <= 40; value++) {
      from.membership.attach("l", value, fleet.timer.nowMs());
      fleet.flush(from);
      fleet.advance(250);
      expect(
        everyone(
          fleet,
          (vm) =>
            fleet.daemon(vm).membership.attached("entry-1-1", "l") === value,
        ),
      )
        .toBe(true);
    }
  });

  it("believes in no daemon that the list does not name", () => {
    const fleet = startFleet();
    const { membership } = fleet.daemon("entry-0-0");
    const now = fleet.timer.nowMs();
    membership.receiveHeartbeat("stranger", [1, "zone-0", 0, []], now);
    membership.receiveChanges("entry-0-1", [["d", "stranger", 1, 0, 0]], now);
    expect(membership.get("stranger")).toBeUndefined();
    const daemons = fleet.list.daemons.filter(({ vm }) => vm !== "entry-2-0");
    membership.applyList({ ...fleet.list, daemons });
    expect(membership.get("entry-2-0")).toBeUndefined();
  });
});
