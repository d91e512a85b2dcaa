import type { CacheEstimates } from "./cache_estimates.ts";
import { type CacheSource, CacheSources, fetchMs } from "./cache_source.ts";
import type { EngineProperties } from "./forwarding_config.ts";
import { PreferredTargetOrder } from "./preferred_target_order.ts";
import {
  countSharedTokens,
  homePart,
  type PromptDescription,
  sharedParts,
} from "./prompt.ts";
import type { TargetRecord } from "./target_record.ts";
import type { RegisteredTarget } from "./target_registry.ts";

/** What placement may assume of the fleet and the engines. */
export interface PlacementSettings {
  readonly availabilityZone: string;
  /** A target holds at most this multiple of the mean load of its service. */
  readonly maxLoadFactor: number;
  /** Prompt tokens that an engine reads in a ms. */
  readonly promptTokensPerMs: number;
}

/** A target that a request may go to. */
export interface Candidate {
  readonly target: RegisteredTarget;
  readonly record: TargetRecord;
  /** Hash of the incarnation's name. */
  readonly incarnationHash: number;
}

/** All that a choice depends on. */
export interface PlacementQuestion {
  readonly prompt: PromptDescription;
  readonly targetLatencyMs: number;
  /** Targets that had a try of this request already. */
  readonly triedIncarnations: ReadonlySet<string>;
  readonly candidates: readonly Candidate[];
  /** Targets that left shortly before and can still be fetched from. */
  readonly departed: readonly Candidate[];
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined;
  readonly cacheEstimates: CacheEstimates;
  readonly nowMs: number;
}

/** The chosen target and what decided for it. */
export interface Placement {
  readonly candidate: Candidate;
  readonly costMs: number;
  /** Prompt tokens that the target has to read or to fetch. */
  readonly missingTokens: number;
  /** Where the target fetches cached parts from before it reads the rest. */
  readonly source: CacheSource | undefined;
  readonly estimatedLoad: number;
  readonly reason: "home" | "cheapest" | "all-full" | "all-distrusted";
}

/** Requests that a target may hold beside the multiple of the mean, by rule. */
const FREE_REQUESTS = 3;
/** Cost of each request at a target, a part of a step of an engine's batch. */
const COST_PER_REQUEST_MS = 1.5;
/** Time in which all slots of a target are free again, in the order of a run. */
const QUEUED_ROUND_MS = 1_000;
/** Cost of another availability zone: two ways of some ms, and its price. */
const OTHER_ZONE_COST_MS = 8;
/** Silence after which a target gets no new work while another is there. */
const SUSPICIOUS_SILENCE_MS = 700;
/**
 * Standard deviation of a share of failures that is averaged over some seven
 * tries, as `TargetRecord` does, at a true share of a half.
 */
const FAILURE_SHARE_NOISE = 0.14;
/** A failed try costs its own time, the next one's and the client's patience. */
const FAILED_TRY_COST = 3;
/** Most of the failure share that counts, so that the cost stays finite. */
const MAX_FAILURE_SHARE = 0.95;
/** Transfers to and from one engine run one after another, and are priced. */
const FETCH_COST_FACTOR = 2;
/** A cold target works up to this much slower for a while, by its sheet. */
const COLD_COST_MS = 50;

/**
 * Chooses the target with the least expected time to the first byte: reading
 * what is not cached, what is read before it, the load, and the tries that a
 * failing target costs. Only targets within the bound on the load take part,
 * while there are any.
 */
export function chooseTarget(
  question: PlacementQuestion,
  settings: PlacementSettings,
): Placement | undefined {
  const fresh = question.candidates.filter(({ target }) =>
    !question.triedIncarnations.has(target.incarnation)
  );
  if (fresh.length === 0) return undefined;
  const trusted = fresh.filter(({ record }) => isTrusted(record, question));
  const pool = trusted.length > 0 ? trusted : fresh;
  const bound = maxLoad(question, settings);
  const open = pool.filter(({ record }) =>
    record.estimateLoad(question.nowMs) + 1 <= bound
  );
  const order = orderHomes(question);
  const home = order?.first(new Set(pool));
  const known = findKnownTokens(question);
  const sharedTokens = countSharedTokens(question.prompt);
  const sources = findSources(question, order, known);
  const failureShare = meanFailureShare(question);
  let best: Placement | undefined;
  for (const candidate of open.length > 0 ? open : pool) {
    const placement = weigh(
      candidate,
      // The home has all shared parts, since every daemon sends there.
      candidate === home ? sharedTokens : known.get(candidate) ?? 0,
      sources.sourceFor(candidate),
      candidate === home,
      failureShare,
      question,
      settings,
    );
    if (!best || placement.costMs < best.costMs) best = placement;
  }
  if (!best) return undefined;
  if (trusted.length === 0) return { ...best, reason: "all-distrusted" };
  if (open.length === 0) return { ...best, reason: "all-full" };
  return best;
}

/** The time to a first byte that a target without a queue would take. */
export function expectedFirstByteMs(
  missingTokens: number,
  settings: PlacementSettings,
): number {
  return missingTokens / settings.promptTokensPerMs;
}

function isTrusted(record: TargetRecord, { nowMs }: PlacementQuestion) {
  if (nowMs < record.suspendedUntilMs) return false;
  return record.silentForMs(nowMs) < SUSPICIOUS_SILENCE_MS;
}

function maxLoad(
  { candidates, nowMs }: PlacementQuestion,
  { maxLoadFactor }: PlacementSettings,
): number {
  let total = 0;
  for (const { record } of candidates) total += record.estimateLoad(nowMs);
  const mean = total / Math.max(1, candidates.length);
  return mean * maxLoadFactor + FREE_REQUESTS;
}

function orderHomes(
  { prompt, candidates, departed }: PlacementQuestion,
): PreferredTargetOrder | undefined {
  const part = homePart(prompt);
  return part &&
    new PreferredTargetOrder(part.id, [...candidates, ...departed]);
}

/** The shared tokens that this daemon knows each target to have read. */
function findKnownTokens(
  { prompt, cacheEstimates: cacheEstimates, candidates, nowMs }:
    PlacementQuestion,
): Map<Candidate, number> {
  const shared = sharedParts(prompt);
  const known = new Map<Candidate, number>();
  if (shared.length === 0) return known;
  for (const candidate of candidates) {
    const { incarnation } = candidate.target;
    const tokens = cacheEstimates.cachedTokens(incarnation, shared, nowMs);
    if (tokens > 0) known.set(candidate, tokens);
  }
  return known;
}

/** A target that was tried or is full may still be fetched from. */
function findSources(
  question: PlacementQuestion,
  order: PreferredTargetOrder | undefined,
  knownTokens: ReadonlyMap<Candidate, number>,
): CacheSources {
  const { prompt, engine, candidates } = question;
  const reachable = candidates.filter(({ record }) =>
    isTrusted(record, question)
  );
  const home = order?.first(new Set(reachable));
  const formerHomes = home
    ? order!.formerHomes(home).filter(({ record }) =>
      isTrusted(record, question)
    )
    : [];
  return new CacheSources({
    prompt,
    engine,
    candidates: reachable,
    home,
    formerHomes,
    knownTokens,
  });
}

function weigh(
  candidate: Candidate,
  cachedTokens: number,
  source: CacheSource | undefined,
  isHome: boolean,
  poolFailureShare: number,
  question: PlacementQuestion,
  settings: PlacementSettings,
): Placement {
  const { prompt, nowMs } = question;
  const { target, record } = candidate;
  const missingTokens = prompt.promptTokens - cachedTokens;
  const estimatedLoad = record.estimateLoad(nowMs);
  const fetchedTokens = Math.max(0, (source?.tokens ?? 0) - cachedTokens);
  const transferMs = question.engine
    ? fetchMs(fetchedTokens, question.engine) * FETCH_COST_FACTOR
    : 0;
  const readTokens = missingTokens - fetchedTokens + record.unreadTokens;
  const costMs = readTokens / settings.promptTokensPerMs + transferMs +
    loadCostMs(target, estimatedLoad) +
    (target.availabilityZone === settings.availabilityZone
      ? 0
      : OTHER_ZONE_COST_MS) +
    (target.coldLeftMs > 0 ? COLD_COST_MS : 0) +
    record.delayMs(nowMs) + distrustMs(record, poolFailureShare, question);
  return {
    candidate,
    costMs,
    missingTokens: Math.max(0, missingTokens),
    source,
    estimatedLoad,
    reason: isHome ? "home" : "cheapest",
  };
}

/** Waiting for a slot costs as much as the slots that are in use before it. */
function loadCostMs(target: RegisteredTarget, load: number): number {
  const waiting = Math.max(0, load + 1 - target.slots);
  const queueMs = (waiting / Math.max(1, target.slots)) * QUEUED_ROUND_MS;
  return load * COST_PER_REQUEST_MS + queueMs;
}

/**
 * Expected time lost by failed tries, beyond what the pool loses on average:
 * where all targets fail alike, moving a prompt only reads it again.
 */
function distrustMs(
  record: TargetRecord,
  poolFailureShare: number,
  { nowMs, targetLatencyMs }: PlacementQuestion,
): number {
  const excess = record.failureShare(nowMs) - poolFailureShare -
    FAILURE_SHARE_NOISE;
  if (excess <= 0) return 0;
  const share = Math.min(MAX_FAILURE_SHARE, excess);
  return (share / (1 - share)) * targetLatencyMs * FAILED_TRY_COST;
}

function meanFailureShare({ candidates, nowMs }: PlacementQuestion): number {
  let total = 0;
  for (const { record } of candidates) total += record.failureShare(nowMs);
  return total / Math.max(1, candidates.length);
}
