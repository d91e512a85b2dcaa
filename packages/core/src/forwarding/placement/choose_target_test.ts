import { beforeEach, describe, expect, it } from "@jest/globals";
import { hash32 } from "../../hash/index.ts";
import { CacheEstimates } from "./cache_estimates.ts";
import {
  type Candidate,
  chooseTarget,
  type PlacementQuery,
} from "./choose_target.ts";
import type { EngineProperties } from "../routes/forwarding_config.ts";
import { NO_PROMPT, type PromptDescription } from "../prompts/prompt.ts";
import {
  type InFlightAttempt,
  TargetRecord,
} from "../targets/target_record.ts";

const SETTINGS = {
  availabilityZone: "a",
  daemonHash: 1,
  maxLoadFactor: 2,
  promptTokensPerMs: 50,
};
const PROMPT: PromptDescription = {
  parts: [
    { id: "common", tokens: 500 },
    { id: "document", tokens: 10_000 },
    { id: "own", tokens: 300 },
  ],
  promptTokens: 10_800,
  maxOutputTokens: 100,
};

const ENGINE: EngineProperties = {
  slots: 64,
  cacheBytesPerToken: 163_840,
  linkMbps: 260_000,
};

let cacheEstimates: CacheEstimates;

beforeEach(() => {
  cacheEstimates = new CacheEstimates();
});

function candidate(id: string, zone = "a", bornAtMs = 1): Candidate {
  return {
    target: {
      id,
      incarnation: `${id}@${bornAtMs}`,
      bornAtMs,
      sequence: 1,
      service: "models",
      host: "127.0.0.1",
      port: 1,
      availabilityZone: zone,
      slots: 64,
      isLeaving: false,
      coldLeftMs: 0,
    },
    record: new TargetRecord(),
    incarnationHash: hash32(`${id}@${bornAtMs}`),
  };
}

function choose(
  candidates: readonly Candidate[],
  fields: Partial<PlacementQuery> = {},
  settings = SETTINGS,
) {
  return chooseTarget({
    prompt: PROMPT,
    targetLatencyMs: 800,
    attemptedIncarnations: new Set(),
    candidates,
    departed: [],
    engine: ENGINE,
    cacheEstimates,
    nowMs: 1_000,
    ...fields,
  }, settings);
}

function addAttempts({ record }: Candidate, count: number): void {
  for (let at = 0; at < count; at++) {
    const attempt: InFlightAttempt = {
      startedAtMs: 1_000,
      unreadTokens: 0,
      lastByteAtMs: 1_000,
      hasResponse: true,
      eventsReceived: 0,
    };
    record.attempts.add(attempt);
  }
}

const fleet = () => ["t1", "t2", "t3", "t4"].map((id) => candidate(id));

describe("chooseTarget", () => {
  it("sends a prompt to the same preferred target from every daemon", () => {
    const fromFirstDaemon = choose(fleet());
    const fromSecondDaemon = choose(fleet().reverse());
    expect(fromFirstDaemon?.reason).toBe("home");
    expect(fromSecondDaemon?.candidate.target.id).toBe(
      fromFirstDaemon?.candidate.target.id,
    );
    expect(fromFirstDaemon?.missingTokens).toBe(300);
  });

  it("stays at the preferred target where others cache a common part", () => {
    const targets = fleet();
    const preferred = choose(targets)!.candidate;
    const other = targets.find((target) => target !== preferred)!;
    cacheEstimates.recordRead(
      other.target.incarnation,
      [PROMPT.parts[0]!],
      900,
    );
    expect(choose(targets)?.candidate).toBe(preferred);
  });

  it("lets the next preferred target fetch from one that is leaving", () => {
    const targets = fleet();
    const leaving = choose(targets)!.candidate;
    const others = targets.filter((one) => one !== leaving);
    const next = choose(others, { departed: [leaving] });
    expect(next?.reason).toBe("home");
    expect(next?.source?.candidate).toBe(leaving);
  });

  it("lets a later preferred target fetch from its predecessor", () => {
    const targets = fleet();
    const preferredBefore = choose(targets)!.candidate;
    for (let at = 0; at < 100; at++) {
      const late = candidate(`late-${at}`, "a", 60_000);
      const placement = choose([...targets, late]);
      if (placement?.candidate !== late) {
        expect(placement?.candidate).toBe(preferredBefore);
        expect(placement?.source).toBeUndefined();
      } else expect(placement.source?.candidate).toBe(preferredBefore);
    }
  });

  it("lets another target fetch from a preferred target that is full", () => {
    const targets = fleet();
    const preferred = choose(targets)!.candidate;
    addAttempts(preferred, 5);
    expect(choose(targets)?.source?.candidate).toBe(preferred);
  });

  // Guards against a prompt that waits for a slow engine while another is fast.
  it("leaves a preferred target that has become slow", () => {
    const targets = fleet();
    const preferred = choose(targets)!.candidate;
    const report = { runningRequests: 0, waitingRequests: 0, slots: 64 };
    preferred.record.recordReportedLoad({ ...report, slowdown: 60 }, 1_000);
    expect(choose(targets)?.candidate).not.toBe(preferred);
    expect(choose(targets, { nowMs: 4_000 })?.candidate).toBe(preferred);
  });

  it("moves a hot prompt once its target reaches the load bound", () => {
    const targets = fleet();
    const preferred = choose(targets)!.candidate;
    addAttempts(preferred, 5);
    // The mean is 1.25, so the load bound is 2 * 1.25 + 3 = 5.5 requests.
    expect(choose(targets)?.candidate).not.toBe(preferred);
    expect(choose(targets)?.reason).toBe("cheapest");
  });

  it("stays at a preferred target with few requests at a low mean", () => {
    const targets = fleet();
    const preferred = choose(targets)!.candidate;
    addAttempts(preferred, 2);
    expect(choose(targets)?.candidate).toBe(preferred);
  });

  it("chooses a target over the load bound where there is no other", () => {
    const targets = [candidate("t1")];
    addAttempts(targets[0]!, 50);
    const placement = choose(targets, { candidates: targets });
    expect(placement?.candidate).toBe(targets[0]);
  });

  it("skips targets that were attempted, unresponsive or suspended", () => {
    const [unresponsive, suspended, attempted, good] = fleet();
    unresponsive!.record.attempts.add({
      startedAtMs: 0,
      unreadTokens: 0,
      lastByteAtMs: 0,
      hasResponse: false,
      eventsReceived: 0,
    });
    suspended!.record.suspend(1_000);
    const placement = choose([unresponsive!, suspended!, attempted!, good!], {
      attemptedIncarnations: new Set([attempted!.target.incarnation]),
    });
    expect(placement?.candidate).toBe(good);
  });

  it("uses unhealthy targets where there are no others", () => {
    const [only] = fleet();
    only!.record.suspend(1_000);
    expect(choose([only!])?.reason).toBe("all-distrusted");
  });

  it("avoids a target that fails some of its requests", () => {
    const [failing, good] = fleet();
    for (let at = 0; at < 5; at++) {
      failing!.record.recordOutcome("failed", 1_000);
    }
    const placement = choose([failing!, good!], { prompt: NO_PROMPT });
    expect(placement?.candidate).toBe(good);
  });

  it("moves no prompt where all targets fail equally often", () => {
    const targets = fleet();
    const preferred = choose(targets)!.candidate;
    for (const target of targets) {
      for (let at = 0; at < 4; at++) {
        target.record.recordOutcome("failed", 1_000);
      }
    }
    preferred.record.recordOutcome("failed", 1_000);
    expect(choose(targets)?.candidate).toBe(preferred);
  });

  it("prefers the daemon's own availability zone at equal load", () => {
    const far = candidate("t1", "b");
    const near = candidate("t2", "a");
    const placement = choose([far, near], { prompt: NO_PROMPT });
    expect(placement?.candidate).toBe(near);
  });

  it("returns undefined without targets", () => {
    expect(choose([])).toBeUndefined();
  });

  // Guards against costs that are no numbers, by which the first target wins.
  it("compares targets whose engines have no link for fetches", () => {
    const [first, second] = [candidate("first"), candidate("second")];
    addAttempts(first, 30);
    const engine = { ...ENGINE, linkMbps: 0, cacheBytesPerToken: 0 };
    const placement = choose([first, second], { engine, prompt: NO_PROMPT });
    expect(placement?.candidate).toBe(second);
    expect(placement?.costMs).toBeGreaterThanOrEqual(0);
  });

  // Guards against requests to an evacuated zone, however its targets compare.
  it("chooses no target in an evacuated zone", () => {
    const [near, far] = [candidate("near", "a"), candidate("far", "b")];
    addAttempts(far, 100);
    far.record.suspend(1_000);
    const evacuatedZones = new Set(["a"]);
    expect(choose([near, far], { evacuatedZones })?.candidate).toBe(far);
    expect(choose([near], { evacuatedZones })).toBeUndefined();
  });

  // Guards against engines that fetch from those of an evacuated zone, be they
  // in use or about to leave.
  it("fetches no cached parts from an evacuated zone", () => {
    const [reader, holder] = [candidate("t1", "a"), candidate("t2", "b")];
    const parts = PROMPT.parts.slice(0, 2);
    cacheEstimates.recordRead(holder.target.incarnation, parts, 1_000);
    // Several, since only those before the reader in its order are sources.
    const departed = Array.from(
      { length: 12 },
      (_, index) => candidate(`d${index}`, "b"),
    );
    const sourceOf = (
      fields: Partial<PlacementQuery>,
      evacuatedZones: readonly string[],
    ) =>
      choose([reader], { ...fields, evacuatedZones: new Set(evacuatedZones) })
        ?.source;
    const inUse = {
      candidates: [reader, holder],
      attemptedIncarnations: new Set([holder.target.incarnation]),
    };
    for (const fields of [inUse, { departed }]) {
      expect(sourceOf(fields, [])).toBeDefined();
      expect(sourceOf(fields, ["b"])).toBeUndefined();
    }
  });

  // Guards against cold targets that get the most urgent requests first.
  it("sends less urgent requests to a cold target first", () => {
    const [cold, busy] = [candidate("cold"), candidate("busy")];
    cold.record.coldUntilMs = 2_000;
    addAttempts(busy, 40);
    const query = { prompt: NO_PROMPT, targetLatencyMs: 800 };
    const settings = { ...SETTINGS, maxLoadFactor: Infinity };
    const chosen = (rank: number, nowMs = 1_000) =>
      choose([cold, busy], { ...query, rank, nowMs }, settings)?.candidate;
    expect(chosen(9)).toBe(cold);
    expect(chosen(0)).toBe(busy);
    expect(chosen(0, 2_000)).toBe(cold);
  });

  it("adds the wait for a permit to the cost of a target", () => {
    const [limited, other] = [candidate("limited"), candidate("other")];
    limited.record.permitFromMs = 1_300;
    const placement = choose([limited, other], { prompt: NO_PROMPT });
    expect(placement?.candidate).toBe(other);
    expect(placement?.runnerUpCostMs).toBe(placement!.costMs + 300);
  });
});
