import { mixHash32 } from "../../hash/index.ts";
import type { CacheEstimates } from "./cache_estimates.ts";
import { type CacheSource, CacheSources, fetchMs } from "./cache_source.ts";
import type { EngineProperties } from "../routes/forwarding_config.ts";
import { LoadEstimates } from "./load_estimates.ts";
import { PreferredTargetOrder } from "./preferred_target_order.ts";
import {
  affinityPart,
  countSharedTokens,
  type PromptDescription,
  sharedParts,
} from "../prompts/prompt.ts";
import type { TargetRecord } from "../targets/target_record.ts";
import type { RegisteredTarget } from "../targets/target_registry.ts";

/** Settings of the placement for the fleet and the engines. */
export interface PlacementSettings {
  readonly availabilityZone: string;
  /** Hash of the daemon's name. */
  readonly daemonHash: number;
  /** Load bound of a target, as a multiple of its service's mean load. */
  readonly maxLoadFactor: number;
  /** Prompt tokens that an engine reads in a ms. */
  readonly promptTokensPerMs: number;
}

/** A target that a request may be sent to. */
export interface Candidate {
  readonly target: RegisteredTarget;
  readonly record: TargetRecord;
  /** Hash of the incarnation's name. */
  readonly incarnationHash: number;
}

/** Input of the choice of a target. */
export interface PlacementQuery {
  readonly prompt: PromptDescription;
  readonly targetLatencyMs: number;
  /** 0 is the most urgent, the default. */
  readonly rank?: number | undefined;
  /** Targets that this request was already sent to. */
  readonly attemptedIncarnations: ReadonlySet<string>;
  readonly candidates: readonly Candidate[];
  /** Targets that left recently and can still serve cache fetches. */
  readonly departed: readonly Candidate[];
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined;
  readonly cacheEstimates: CacheEstimates;
  /** Zones that take no requests while others do. */
  readonly unreachableZones?: ReadonlySet<string>;
  /** Zones whose targets take no requests and serve no cache fetches. */
  readonly evacuatedZones?: ReadonlySet<string>;
  /** Hash of the request; requests with the same knowledge spread by it. */
  readonly requestHash?: number;
  readonly nowMs: number;
}

/** The chosen target and the inputs that decided the choice. */
export interface Placement {
  readonly candidate: Candidate;
  readonly costMs: number;
  /** Cost of the next best target; infinite if there is none. */
  readonly runnerUpCostMs: number;
  /** The part of the cost that is the wait for a permit. */
  readonly permitWaitMs: number;
  /** Prompt tokens that the target has to read or to fetch. */
  readonly missingTokens: number;
  /** Source from which the target fetches cached parts first, if any. */
  readonly source: CacheSource | undefined;
  readonly estimatedLoad: number;
  /** Load bound of the service's targets, in requests. */
  readonly loadBound: number;
  readonly reason: "home" | "cheapest" | "all-full" | "all-distrusted";
}

/** Requests that the platform's rules allow beyond the multiple of the mean. */
const LOAD_BOUND_SLACK_REQUESTS = 3;
/** Cost of each in-flight request: a fraction of an engine's batch step. */
const COST_PER_REQUEST_MS = 1.5;
/** Time in which all slots of a target turn over: about one execution. */
const SLOT_TURNOVER_MS = 1_000;
/** Cost of another availability zone: a round trip of some ms and its price. */
const OTHER_ZONE_COST_MS = 8;
/** Silence after which a target gets no new work while others are healthy. */
const UNRESPONSIVE_AFTER_MS = 700;
/**
 * Standard deviation of a failure share that is a moving average over about
 * seven attempts, as in `TargetRecord`, at a true failure share of 0.5.
 */
const FAILURE_SHARE_NOISE = 0.14;
/** A failed attempt costs its own time, a retry's and the client's wait. */
const FAILED_ATTEMPT_COST_FACTOR = 3;
/** Upper limit of the failure share, so that the cost stays finite. */
const MAX_FAILURE_SHARE = 0.95;
/** Transfers to and from one engine are serialized and have a price. */
const FETCH_COST_FACTOR = 2;
const UINT32_RANGE = 2 ** 32;
/** A cold target is up to this much slower for a while, by its data sheet. */
const COLD_COST_MS = 50;
/**
 * Cost of a cold target that crashes above a limit, for the most urgent rank.
 * Less urgent requests go there first, since they are the cheapest to lose.
 */
const COLD_RISK_COST_MS = 200;

/**
 * Chooses the target with the lowest expected time to the first byte. The cost
 * covers the uncached prompt tokens, the tokens queued before them, the load,
 * and the expected failed attempts. Targets above the load bound are excluded
 * while any target is within it. Targets in evacuated zones always are.
 */
export function chooseTarget(
  query: PlacementQuery,
  settings: PlacementSettings,
): Placement | undefined {
  const remaining = query.candidates.filter(({ target, record }) =>
    !query.attemptedIncarnations.has(target.incarnation) &&
    !query.evacuatedZones?.has(target.availabilityZone) &&
    record.isTaking(query.nowMs)
  );
  if (remaining.length === 0) return undefined;
  const healthy = remaining.filter((candidate) => isHealthy(candidate, query));
  const pool = healthy.length > 0 ? healthy : remaining;
  const loads = new LoadEstimates(
    query.candidates.map(({ record }) => record),
    query.nowMs,
  );
  const loadBound = loads.mean * settings.maxLoadFactor +
    LOAD_BOUND_SLACK_REQUESTS;
  const withinBound = pool.filter(({ record }) =>
    loads.of(record) + 1 <= loadBound
  );
  const order = orderPreferredTargets(query);
  const preferredTarget = order?.first(new Set(pool));
  const cachedTokensByCandidate = estimateCachedTokens(query);
  const sharedTokens = countSharedTokens(query.prompt);
  const sources = findSources(query, order, cachedTokensByCandidate);
  const averageFailureShare = meanFailureShare(query);
  const executionMs = usualExecutionMs(query);
  let best: Estimate | undefined;
  let runnerUpCostMs = Infinity;
  for (const candidate of withinBound.length > 0 ? withinBound : pool) {
    const isPreferred = candidate === preferredTarget;
    const placement = estimatePlacement(
      {
        candidate,
        // Every daemon sends to the preferred target, so it has all shared parts.
        cachedTokens: isPreferred
          ? sharedTokens
          : cachedTokensByCandidate.get(candidate) ?? 0,
        source: sources.sourceFor(candidate),
        isPreferred,
        averageFailureShare,
        estimatedLoad: estimateLoad(candidate, loads, executionMs, query),
        executionMs,
      },
      query,
      settings,
    );
    if (!best || isBetter(placement, best, settings)) {
      runnerUpCostMs = best?.costMs ?? Infinity;
      best = placement;
    } else runnerUpCostMs = Math.min(runnerUpCostMs, placement.costMs);
  }
  if (!best) return undefined;
  const placement = { ...best, loadBound, runnerUpCostMs };
  if (healthy.length === 0) return { ...placement, reason: "all-distrusted" };
  if (withinBound.length === 0) return { ...placement, reason: "all-full" };
  return placement;
}

/** Expected time to the first byte at a target with an empty queue, in ms. */
export function expectedFirstByteMs(
  missingTokens: number,
  settings: PlacementSettings,
): number {
  return missingTokens / settings.promptTokensPerMs;
}

function isHealthy(
  { target, record }: Candidate,
  { nowMs, unreachableZones, evacuatedZones }: PlacementQuery,
): boolean {
  if (nowMs < record.suspendedUntilMs) return false;
  if (unreachableZones?.has(target.availabilityZone)) return false;
  if (evacuatedZones?.has(target.availabilityZone)) return false;
  if (record.isOnTrial) return false;
  return record.silentForMs(nowMs) < UNRESPONSIVE_AFTER_MS;
}

function orderPreferredTargets(
  { prompt, candidates, departed }: PlacementQuery,
): PreferredTargetOrder | undefined {
  const part = affinityPart(prompt);
  return part &&
    new PreferredTargetOrder(part.id, [...candidates, ...departed]);
}

/** Estimates the shared tokens that each target has cached. */
function estimateCachedTokens(
  { prompt, cacheEstimates, candidates, nowMs }: PlacementQuery,
): Map<Candidate, number> {
  const shared = sharedParts(prompt);
  const cachedTokensByCandidate = new Map<Candidate, number>();
  if (shared.length === 0) return cachedTokensByCandidate;
  for (const candidate of candidates) {
    const { incarnation } = candidate.target;
    const tokens = cacheEstimates.cachedTokens(incarnation, shared, nowMs);
    if (tokens > 0) cachedTokensByCandidate.set(candidate, tokens);
  }
  return cachedTokensByCandidate;
}

/** A target that was attempted or is full can still be a cache source. */
function findSources(
  query: PlacementQuery,
  order: PreferredTargetOrder | undefined,
  cachedTokens: ReadonlyMap<Candidate, number>,
): CacheSources {
  const { prompt, engine, candidates } = query;
  const healthy = candidates.filter((candidate) => isHealthy(candidate, query));
  const preferredTarget = order?.first(new Set(healthy));
  const formerPreferredTargets = preferredTarget
    ? order!.formerPreferredTargets(preferredTarget).filter((candidate) =>
      isHealthy(candidate, query)
    )
    : [];
  return new CacheSources({
    prompt,
    engine,
    candidates: healthy,
    preferredTarget,
    formerPreferredTargets,
    cachedTokens,
  });
}

/** What is estimated for one candidate alone. */
type Estimate = Omit<Placement, "loadBound" | "runnerUpCostMs">;

interface CandidateEstimates {
  readonly candidate: Candidate;
  readonly cachedTokens: number;
  readonly source: CacheSource | undefined;
  readonly isPreferred: boolean;
  readonly averageFailureShare: number;
  readonly estimatedLoad: number;
  readonly executionMs: number | undefined;
}

function estimatePlacement(
  estimates: CandidateEstimates,
  query: PlacementQuery,
  settings: PlacementSettings,
): Estimate {
  const { candidate, cachedTokens, source, estimatedLoad } = estimates;
  const { prompt, nowMs } = query;
  const { target, record } = candidate;
  const missingTokens = prompt.promptTokens - cachedTokens;
  const fetchedTokens = Math.max(0, (source?.tokens ?? 0) - cachedTokens);
  const transferMs = query.engine
    ? fetchMs(fetchedTokens, query.engine) * FETCH_COST_FACTOR
    : 0;
  const readTokens = missingTokens - fetchedTokens + record.unreadTokens;
  const permitWaitMs = Math.max(0, record.permitFromMs - nowMs);
  const slowdown = record.slowdown(nowMs);
  const costMs = readTokens / settings.promptTokensPerMs * slowdown +
    transferMs + loadCostMs(estimates, slowdown) +
    (target.availabilityZone === settings.availabilityZone
      ? 0
      : OTHER_ZONE_COST_MS) +
    (target.coldLeftMs > 0 ? COLD_COST_MS : 0) +
    coldRiskMs(record, query) +
    record.delayMs(nowMs) + permitWaitMs +
    failureCostMs(record, estimates.averageFailureShare, query);
  return {
    candidate,
    costMs,
    permitWaitMs,
    missingTokens: Math.max(0, missingTokens),
    source,
    estimatedLoad,
    reason: estimates.isPreferred ? "home" : "cheapest",
  };
}

/**
 * Whether `left` costs less. Each daemon resolves ties in an order of its own,
 * since daemons that know nothing of some targets would all choose the same.
 */
function isBetter(
  left: Estimate,
  right: Estimate,
  { daemonHash }: PlacementSettings,
): boolean {
  if (left.costMs !== right.costMs) return left.costMs < right.costMs;
  return mixHash32(daemonHash, left.candidate.incarnationHash) >
    mixHash32(daemonHash, right.candidate.incarnationHash);
}

/**
 * The load of a plain target that reports its slowdown is drawn by request.
 * Prompts spread the requests to engines.
 */
function estimateLoad(
  { record, incarnationHash }: Candidate,
  loads: LoadEstimates,
  executionMs: number | undefined,
  { requestHash }: PlacementQuery,
): number {
  if (executionMs === undefined || requestHash === undefined) {
    return loads.of(record);
  }
  const random = mixHash32(requestHash, incarnationHash) / UINT32_RANGE;
  return loads.sample(record, random);
}

/**
 * Usual time of an execution at the plain targets of the service; undefined for
 * engines and where no target reports its slowdown. One figure for all, since
 * targets that were not heard would otherwise seem the fastest.
 */
function usualExecutionMs(
  { candidates, engine }: PlacementQuery,
): number | undefined {
  if (engine) return undefined;
  let totalMs = 0;
  let known = 0;
  for (const { record: { usualFirstByteMs } } of candidates) {
    if (usualFirstByteMs === undefined) continue;
    totalMs += usualFirstByteMs;
    known += 1;
  }
  return known === 0 ? undefined : totalMs / known;
}

/**
 * Cost of the load in ms; waiting requests add their share of a turnover. Where
 * plain targets report their slowdown, the turnover is an execution, and the
 * execution itself is part of the cost.
 */
function loadCostMs(
  { candidate: { target }, estimatedLoad, executionMs }: CandidateEstimates,
  slowdown: number,
): number {
  const waiting = Math.max(0, estimatedLoad + 1 - target.slots);
  const queueShare = waiting / Math.max(1, target.slots);
  const requestsMs = estimatedLoad * COST_PER_REQUEST_MS;
  if (executionMs === undefined) {
    return requestsMs + queueShare * SLOT_TURNOVER_MS * slowdown;
  }
  return requestsMs + executionMs * slowdown * (1 + queueShare);
}

function coldRiskMs(
  { coldUntilMs }: TargetRecord,
  { rank = 0, nowMs }: PlacementQuery,
): number {
  return nowMs < coldUntilMs ? COLD_RISK_COST_MS / (1 + rank) : 0;
}

/**
 * Expected time lost to failed attempts beyond the average of all candidates.
 * Where all targets fail equally often, moving a prompt only makes another
 * target read it.
 */
function failureCostMs(
  record: TargetRecord,
  averageFailureShare: number,
  { nowMs, targetLatencyMs }: PlacementQuery,
): number {
  const excess = record.failureShare(nowMs) - averageFailureShare -
    FAILURE_SHARE_NOISE;
  if (excess <= 0) return 0;
  const share = Math.min(MAX_FAILURE_SHARE, excess);
  return (share / (1 - share)) * targetLatencyMs * FAILED_ATTEMPT_COST_FACTOR;
}

function meanFailureShare({ candidates, nowMs }: PlacementQuery): number {
  let total = 0;
  for (const { record } of candidates) total += record.failureShare(nowMs);
  return total / Math.max(1, candidates.length);
}
