import { describe, expect, it } from "@jest/globals";
import { CacheEstimates } from "./cache_estimates.ts";
import { type Candidate, chooseTarget } from "./choose_target.ts";
import {
  type InFlightAttempt,
  TargetRecord,
} from "../targets/target_record.ts";
import { findUnreachableZones } from "./unreachable_zones.ts";

const ZONES = ["a", "b", "c", "d"];
const OWN_ZONE = "a";
const ENGINES_PER_ZONE = 3;
/** A plain service has one target in each zone. */
const SERVICES = ["engine", "engine", "engine", "desk"];
const CONNECT_TIMEOUT_MS = 500;
const RESPONSE_MS = 200;
const REQUEST_PERIOD_MS = 5;
const CUT_FROM_MS = 2_000;
const CUT_UNTIL_MS = 8_000;
const END_MS = 12_000;
const STEP_MS = 5;

interface Result {
  /** Attempts that found no connection, but for those at the begin of the cut. */
  lateFailures: number;
  /** Requests that had to wait for a second attempt or later. */
  delayedRequests: number;
  requests: number;
  /** Requests to other zones in the last two seconds. */
  afterCut: number;
}

function createCandidates(): Candidate[] {
  return ZONES.flatMap((availabilityZone, zone) =>
    Array.from({ length: ENGINES_PER_ZONE + 1 }, (_, index) => {
      const service = SERVICES[index]!;
      const id = `${service}-${availabilityZone}-${index}`;
      return {
        target: {
          id,
          incarnation: `${id}@1`,
          bornAtMs: 1,
          sequence: 1,
          service,
          host: "127.0.0.1",
          port: 1 + zone * SERVICES.length + index,
          availabilityZone,
          slots: 8,
          isLeaving: false,
          coldLeftMs: 0,
        },
        record: new TargetRecord(),
        incarnationHash: zone * 1_000 + index,
      };
    })
  );
}

/** One daemon, whose zone is cut off from all others for some seconds. */
function simulate(knowsZones: boolean): Result {
  const candidates = createCandidates();
  const events: { atMs: number; run: () => void }[] = [];
  const result = {
    lateFailures: 0,
    delayedRequests: 0,
    requests: 0,
    afterCut: 0,
  };
  let nowMs = 0;
  const attempt = (service: string, attempted: ReadonlySet<string>) => {
    const placement = chooseTarget({
      prompt: { parts: [], promptTokens: 0, maxOutputTokens: 0 },
      targetLatencyMs: 400,
      attemptedIncarnations: attempted,
      candidates: candidates.filter(({ target }) => target.service === service),
      departed: [],
      engine: undefined,
      cacheEstimates: new CacheEstimates(),
      ...(knowsZones
        ? { unreachableZones: findUnreachableZones(candidates, nowMs) }
        : {}),
      nowMs,
    }, {
      availabilityZone: OWN_ZONE,
      daemonHash: 7,
      maxLoadFactor: 2,
      promptTokensPerMs: 50,
    });
    if (!placement) return;
    const { target, record } = placement.candidate;
    const inFlight: InFlightAttempt = {
      startedAtMs: nowMs,
      unreadTokens: 0,
      lastByteAtMs: nowMs,
      hasResponse: false,
      eventsReceived: 0,
    };
    record.attempts.add(inFlight);
    const isCut = target.availabilityZone !== OWN_ZONE &&
      nowMs >= CUT_FROM_MS && nowMs < CUT_UNTIL_MS;
    if (isCut) {
      events.push({
        atMs: nowMs + CONNECT_TIMEOUT_MS,
        run: () => {
          record.attempts.delete(inFlight);
          record.recordOutcome("failed", nowMs);
          record.suspend(nowMs);
          const sinceCutMs = inFlight.startedAtMs - CUT_FROM_MS;
          if (sinceCutMs > CONNECT_TIMEOUT_MS) result.lateFailures += 1;
          if (attempted.size === 0) result.delayedRequests += 1;
          attempt(service, new Set([...attempted, target.incarnation]));
        },
      });
      return;
    }
    if (nowMs > END_MS - 2_000 && target.availabilityZone !== OWN_ZONE) {
      result.afterCut += 1;
    }
    events.push({
      atMs: nowMs + RESPONSE_MS,
      run: () => {
        record.attempts.delete(inFlight);
        record.recordOutcome("good", nowMs);
      },
    });
  };
  for (; nowMs < END_MS; nowMs += STEP_MS) {
    const due = events.filter(({ atMs }) => atMs <= nowMs);
    for (const event of due) events.splice(events.indexOf(event), 1);
    for (const { run } of due) run();
    if (nowMs % REQUEST_PERIOD_MS !== 0) continue;
    const index = nowMs / REQUEST_PERIOD_MS;
    result.requests += 1;
    attempt(SERVICES[index % SERVICES.length]!, new Set());
  }
  return result;
}

// Guards against requests that wait for connections to one target after the
// other, all behind the same cut.
describe("a zone that is cut off", () => {
  it("delays few requests beside those in flight when it begins", () => {
    const alone = simulate(false);
    const together = simulate(true);
    expect(together.requests).toBe(alone.requests);
    expect(together.lateFailures).toBeLessThan(alone.lateFailures / 2);
    expect(together.delayedRequests).toBeLessThan(0.1 * together.requests);
  });

  it("uses the other zones again after the cut", () => {
    expect(simulate(true).afterCut).toBeGreaterThan(20);
  });
});

describe("findUnreachableZones", () => {
  it("names a zone after two targets failed, until one sends a byte", () => {
    const candidates = createCandidates();
    const inZone = candidates.filter(({ target }) =>
      target.availabilityZone === "b"
    );
    inZone[0]!.record.suspend(100);
    expect([...findUnreachableZones(candidates, 110)]).toEqual([]);
    inZone[3]!.record.suspend(120);
    expect([...findUnreachableZones(candidates, 130)]).toEqual(["b"]);
    inZone[1]!.record.recordOutcome("good", 140);
    expect([...findUnreachableZones(candidates, 150)]).toEqual([]);
  });

  it("lets one request at a time find out whether a zone is back", () => {
    const candidates = createCandidates();
    const [first, second, third] = candidates;
    first!.record.suspend(100);
    second!.record.suspend(100);
    expect(findUnreachableZones(candidates, 349).has("a")).toBe(true);
    expect(findUnreachableZones(candidates, 351).has("a")).toBe(false);
    third!.record.attempts.add({
      startedAtMs: 351,
      unreadTokens: 0,
      lastByteAtMs: 351,
      hasResponse: false,
      eventsReceived: 0,
    });
    expect(findUnreachableZones(candidates, 360).has("a")).toBe(true);
  });
});
