import { beforeEach, describe, expect, it } from "@jest/globals";
import { hash32 } from "../hash/index.ts";
import { CacheEstimates } from "./cache_estimates.ts";
import {
  type Candidate,
  chooseTarget,
  type PlacementQuestion,
} from "./choose_target.ts";
import type { EngineProperties } from "./forwarding_config.ts";
import { NO_PROMPT, type PromptDescription } from "./prompt.ts";
import { type InFlightAttempt, TargetRecord } from "./target_record.ts";

const SETTINGS = {
  availabilityZone: "a",
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

function ask(
  candidates: readonly Candidate[],
  fields: Partial<PlacementQuestion> = {},
) {
  return chooseTarget({
    prompt: PROMPT,
    targetLatencyMs: 800,
    triedIncarnations: new Set(),
    candidates,
    departed: [],
    engine: ENGINE,
    cacheEstimates: cacheEstimates,
    nowMs: 1_000,
    ...fields,
  }, SETTINGS);
}

function addTries({ record }: Candidate, count: number): void {
  for (let at = 0; at < count; at++) {
    const running: InFlightAttempt = {
      startedAtMs: 1_000,
      unreadTokens: 0,
      lastHeardAtMs: 1_000,
      hasAnswer: true,
    };
    record.tries.add(running);
  }
}

const fleet = () => ["t1", "t2", "t3", "t4"].map((id) => candidate(id));

describe("chooseTarget", () => {
  it("sends a prompt to the same home from every daemon", () => {
    const first = ask(fleet());
    const second = ask(fleet().reverse());
    expect(first?.reason).toBe("home");
    expect(second?.candidate.target.id).toBe(first?.candidate.target.id);
    expect(first?.missingTokens).toBe(300);
  });

  it("keeps the home where only a common part is known elsewhere", () => {
    const targets = fleet();
    const home = ask(targets)!.candidate;
    const other = targets.find((target) => target !== home)!;
    cacheEstimates.noteRead(other.target.incarnation, [PROMPT.parts[0]!], 900);
    expect(ask(targets)?.candidate).toBe(home);
  });

  it("lets the next home fetch from one that is leaving", () => {
    const targets = fleet();
    const leaving = ask(targets)!.candidate;
    const others = targets.filter((one) => one !== leaving);
    const next = ask(others, { departed: [leaving] });
    expect(next?.reason).toBe("home");
    expect(next?.source?.candidate).toBe(leaving);
  });

  it("lets a home that came later fetch from the one before it", () => {
    const targets = fleet();
    const before = ask(targets)!.candidate;
    for (let at = 0; at < 100; at++) {
      const late = candidate(`late-${at}`, "a", 60_000);
      const placement = ask([...targets, late]);
      if (placement?.candidate !== late) {
        expect(placement?.candidate).toBe(before);
        expect(placement?.source).toBeUndefined();
      } else expect(placement.source?.candidate).toBe(before);
    }
  });

  it("lets a stand-in fetch from a home that is full", () => {
    const targets = fleet();
    const home = ask(targets)!.candidate;
    addTries(home, 5);
    expect(ask(targets)?.source?.candidate).toBe(home);
  });

  it("spills a hot prompt once its home holds its bound", () => {
    const targets = fleet();
    const home = ask(targets)!.candidate;
    addTries(home, 5);
    // The mean is 1.25, so the home may hold 2 * 1.25 + 3 = 5.5 requests.
    expect(ask(targets)?.candidate).not.toBe(home);
    expect(ask(targets)?.reason).toBe("cheapest");
  });

  it("keeps a home that holds a few requests at a low mean", () => {
    const targets = fleet();
    const home = ask(targets)!.candidate;
    addTries(home, 2);
    expect(ask(targets)?.candidate).toBe(home);
  });

  it("takes a target over its bound where there is no other", () => {
    const targets = [candidate("t1")];
    addTries(targets[0]!, 50);
    const placement = ask(targets, { candidates: targets });
    expect(placement?.candidate).toBe(targets[0]);
  });

  it("passes over targets that were tried, silent or suspended", () => {
    const [silent, suspended, tried, good] = fleet();
    silent!.record.tries.add({
      startedAtMs: 0,
      unreadTokens: 0,
      lastHeardAtMs: 0,
      hasAnswer: false,
    });
    suspended!.record.suspend(1_000);
    const placement = ask([silent!, suspended!, tried!, good!], {
      triedIncarnations: new Set([tried!.target.incarnation]),
    });
    expect(placement?.candidate).toBe(good);
  });

  it("uses distrusted targets where there are no others", () => {
    const [only] = fleet();
    only!.record.suspend(1_000);
    expect(ask([only!])?.reason).toBe("all-distrusted");
  });

  it("avoids a target that fails a part of its requests", () => {
    const [failing, good] = fleet();
    for (let at = 0; at < 5; at++) {
      failing!.record.recordOutcome("failed", 1_000);
    }
    const placement = ask([failing!, good!], { prompt: NO_PROMPT });
    expect(placement?.candidate).toBe(good);
  });

  it("moves no prompt where all targets fail alike", () => {
    const targets = fleet();
    const home = ask(targets)!.candidate;
    for (const target of targets) {
      for (let at = 0; at < 4; at++) {
        target.record.recordOutcome("failed", 1_000);
      }
    }
    home.record.recordOutcome("failed", 1_000);
    expect(ask(targets)?.candidate).toBe(home);
  });

  it("prefers the own availability zone at the same load", () => {
    const far = candidate("t1", "b");
    const near = candidate("t2", "a");
    const placement = ask([far, near], { prompt: NO_PROMPT });
    expect(placement?.candidate).toBe(near);
  });

  it("finds nothing without targets", () => {
    expect(ask([])).toBeUndefined();
  });
});
