import { describe, expect, it } from "@jest/globals";
import { coldLimit } from "./cold_limit.ts";
import { limitOwners } from "./limit_owners.ts";
import { HAND_OVER_MS, PermitLimiters } from "./permit_limiters.ts";

const BOUND = { requestsPerSecond: 11, overage: 1.5, slack: 5 };
const MAX_IN_SECOND = BOUND.requestsPerSecond * BOUND.overage + BOUND.slack;
const LIMIT = coldLimit(BOUND)!;
const TARGET = { incarnation: "t@1", availabilityZone: "zone-0" };
const ZONES = 3;
const STEP_MS = 5;
const COLD_AT_MS = 5_000;
/** Time in which all daemons learn that a target is cold. */
const CONTACT_MS = 150;
/** Pause after which no request without a permit is counted with one. */
const QUIET_MS = 1_000;
const DURATION_MS = 35_000;
/** Requests a second of all daemons together for the cold target. */
const DEMAND = 400;
const MAX_WAIT_MS = 300;
const RESTART_MS = 500;
/** Time in which daemons learn of a changed list of daemons. */
const LIST_MS = 2_000;

interface Scenario {
  readonly daemons: number;
  /** Daemons that are killed and start again in a second. */
  readonly restartsPerSecond?: number;
  /** Daemons that are added in a second; lists differ for a while. */
  readonly joinsPerSecond?: number;
  /** Zones that reach the target, but neither owner nor substitute. */
  readonly cutZones?: readonly number[];
  /** Zones that reach only the substitute. */
  readonly halfCutZones?: readonly number[];
  /** Whether all daemons lose the owners at one moment. */
  readonly losesOwners?: boolean;
}

interface ModelDaemon {
  readonly name: string;
  readonly zone: number;
  limiters: PermitLimiters;
  upAtMs: number;
  knowsAtMs: number;
  /** Number of daemons in its list; later ones are not known yet. */
  known: number;
}

/** Arrivals at a target that turns cold, of a fleet that asks all the time. */
function simulate(scenario: Scenario, seed: number): number[] {
  let state = seed;
  const random = () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
  const daemons: ModelDaemon[] = [];
  const addDaemon = (nowMs: number, knowsAtMs: number) => {
    const name = `daemon-${daemons.length}`;
    const limiters = new PermitLimiters(name, nowMs);
    daemons.push({
      name,
      zone: daemons.length % ZONES,
      limiters,
      upAtMs: nowMs,
      knowsAtMs,
      known: 0,
    });
  };
  for (let index = 0; index < scenario.daemons; index++) {
    const knowsAtMs = COLD_AT_MS + random() * CONTACT_MS;
    addDaemon(-HAND_OVER_MS, knowsAtMs);
  }
  for (const daemon of daemons) daemon.known = daemons.length;
  const ownersByCount = new Map<number, readonly string[]>();
  const ownersOf = (known: number) => {
    const owners = ownersByCount.get(known) ??
      limitOwners(
        TARGET,
        daemons.slice(0, known).map(({ name, zone }) => ({
          name,
          availabilityZone: `zone-${zone}`,
        })),
      );
    ownersByCount.set(known, owners);
    return owners;
  };
  const byName = (name: string) => daemons[Number(name.split("-")[1])]!;
  const learns: { atMs: number; known: number; index: number }[] = [];
  const arrivals: number[] = [];
  const reserve = (daemon: ModelDaemon, nowMs: number) => {
    const query = {
      target: TARGET.incarnation,
      requestsPerSecond: LIMIT,
      maxWaitMs: MAX_WAIT_MS,
      daemons: daemon.known,
      isStrict: true,
    };
    const [owner, substitute] = ownersOf(daemon.known).map(byName);
    const isLost = scenario.losesOwners && nowMs > DURATION_MS / 2;
    const isCut = isLost || scenario.cutZones?.includes(daemon.zone);
    const isHalfCut = scenario.halfCutZones?.includes(daemon.zone);
    const canAsk = (peer: ModelDaemon | undefined) =>
      peer && nowMs >= peer.upAtMs && !isCut;
    for (
      const [peer, role] of [[owner, "owner"], [
        substitute,
        "substitute",
      ]] as const
    ) {
      if (!canAsk(peer) || (role === "owner" && isHalfCut)) continue;
      return peer!.limiters.reserve({ ...query, role }, nowMs);
    }
    return daemon.limiters.reserve({ ...query, role: "own" }, nowMs);
  };
  const quietened = new Set<ModelDaemon>();
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    const happens = (perSecond = 0) => random() < perSecond * STEP_MS / 1_000;
    if (nowMs > COLD_AT_MS + LIST_MS && happens(scenario.joinsPerSecond)) {
      addDaemon(nowMs, nowMs);
      daemons.at(-1)!.known = daemons.length;
      for (let index = 0; index < daemons.length - 1; index++) {
        const atMs = nowMs + random() * LIST_MS;
        learns.push({ atMs, known: daemons.length, index });
      }
    }
    for (const { atMs, known, index } of learns) {
      if (atMs > nowMs) continue;
      const daemon = daemons[index]!;
      daemon.known = Math.max(daemon.known, known);
    }
    if (nowMs > COLD_AT_MS + LIST_MS && happens(scenario.restartsPerSecond)) {
      const daemon = daemons[Math.floor(random() * daemons.length)]!;
      daemon.upAtMs = nowMs + RESTART_MS;
      daemon.limiters = new PermitLimiters(daemon.name, daemon.upAtMs);
    }
    for (const daemon of daemons) {
      if (quietened.has(daemon) || nowMs < daemon.knowsAtMs) continue;
      quietened.add(daemon);
      // A daemon that starts later knows the target as cold from the beginning.
      if (daemon.upAtMs > 0) continue;
      const untilMs = nowMs + QUIET_MS;
      daemon.limiters.delayUntil(TARGET.incarnation, untilMs, nowMs);
    }
    let requests = DEMAND * STEP_MS / 1_000;
    for (; random() < requests; requests--) {
      const daemon = daemons[Math.floor(random() * daemons.length)]!;
      if (nowMs < daemon.upAtMs) continue;
      const latencyMs = 1 + random() * 4;
      if (nowMs < daemon.knowsAtMs) {
        arrivals.push(nowMs + latencyMs);
        continue;
      }
      const { permit } = reserve(daemon, nowMs);
      if (permit.kind === "denied") continue;
      arrivals.push(nowMs + permit.waitMs + latencyMs);
    }
  }
  return arrivals.sort((left, right) => left - right);
}

/** Most arrivals in a second that begins when all daemons know. */
function findWorstSecond(arrivals: readonly number[]): number {
  const late = arrivals.filter((atMs) => atMs >= COLD_AT_MS + CONTACT_MS + 5);
  let worst = 0;
  let first = 0;
  for (let last = 0; last < late.length; last++) {
    while (late[last]! - late[first]! >= 1_000) first += 1;
    worst = Math.max(worst, last - first + 1);
  }
  return worst;
}

const SIZES = [6, 85, 300];
const SEEDS = [1, 2, 3];
const SCENARIOS: Record<string, Omit<Scenario, "daemons">> = {
  "in contact": {},
  "two restarts a second": { restartsPerSecond: 2 },
  "daemons are added": { joinsPerSecond: 0.3 },
  "a zone without owners": { cutZones: [1] },
  "a zone without owners, another without the first": {
    cutZones: [1],
    halfCutZones: [2],
  },
  "all lose the owners at once": { losesOwners: true },
  "restarts, additions and a zone without owners": {
    restartsPerSecond: 2,
    joinsPerSecond: 0.3,
    cutZones: [1],
  },
};

describe("a target that turns cold", () => {
  // Guards against shares that add up to more than the bound of one second,
  // such as daemons that each send one request when they lose the owners.
  describe.each(SIZES)("with %s daemons", (daemons) => {
    it.each(Object.keys(SCENARIOS))("keeps within the bound: %s", (name) => {
      const worst = SEEDS.map((seed) =>
        findWorstSecond(simulate({ daemons, ...SCENARIOS[name] }, seed))
      );
      if (process.env["COLD_FIGURES"]) console.log(daemons, name, worst);
      expect(Math.max(...worst)).toBeLessThanOrEqual(MAX_IN_SECOND);
    });
  });

  // Guards against permits that add to what was sent before the target was
  // known to be cold.
  it("gets no request with a permit while others may be on their way", () => {
    const arrivals = simulate({ daemons: 85 }, 1);
    // An owner may have handed out some before it learned that itself.
    const fromMs = COLD_AT_MS + CONTACT_MS + MAX_WAIT_MS + 5;
    const early = arrivals.filter((atMs) =>
      atMs >= fromMs && atMs < COLD_AT_MS + QUIET_MS
    );
    expect(early).toEqual([]);
  });

  it("is used while all are in contact", () => {
    const arrivals = simulate({ daemons: 85 }, 1);
    const fromMs = COLD_AT_MS + 2 * QUIET_MS;
    const count = arrivals.filter((atMs) => atMs >= fromMs).length;
    const perSecond = count / ((DURATION_MS - fromMs) / 1_000);
    expect(perSecond).toBeGreaterThan(BOUND.requestsPerSecond * 0.9);
  });
});
