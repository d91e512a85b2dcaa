import type { Deployment, RequestKind } from "./deployments.ts";
import { RandomSource } from "./random_source.ts";
import type { Trace, TracePhase, TraceRequest } from "./trace.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
/**
 * Shortened weekend with the requests and the cache churn of 60 hours at 0.2%
 * of the calm rate. It may be short because cache entries age by the traffic
 * through the cache, not by time.
 */
const WEEKEND_MS = 10 * MINUTE_MS;
/** Rate of the shortened weekend divided by the calm rate. */
const WEEKEND_RATE_FACTOR = 0.72;
/** Fraction of the surge that the large teams send. */
const LARGE_TEAM_SURGE_SHARE = 0.7;
/** Weights of pauses between turns: minutes, hours, until after the weekend. */
const PAUSE_WEIGHTS = [0.85, 0.07, 0.08] as const;
const MEAN_SHORT_PAUSE_MS = 2 * MINUTE_MS;
const MEAN_LONG_PAUSE_MS = 3 * HOUR_MS;
/** Mean time after the weekend until a paused chat resumes. */
const MEAN_RESUME_DELAY_MS = 5 * MINUTE_MS;

/** Seed and phase durations of a load. */
export interface LoadOptions {
  readonly seed: number;
  readonly calmMs: number;
  readonly surgeMs: number;
  readonly afterMs: number;
  /** Duration of the shortened weekend. */
  readonly weekendMs: number;
}

/** Phase durations of a full run and of a quick run. */
export const FULL_LOAD = {
  calmMs: 30 * MINUTE_MS,
  surgeMs: 15 * MINUTE_MS,
  afterMs: 15 * MINUTE_MS,
  weekendMs: WEEKEND_MS,
};
export const QUICK_LOAD = {
  calmMs: 8 * MINUTE_MS,
  surgeMs: 4 * MINUTE_MS,
  afterMs: 4 * MINUTE_MS,
  weekendMs: WEEKEND_MS / 2,
};

/**
 * Generates an open-loop load of multi-turn chats: a calm Friday, a weekend
 * with almost no traffic, a Monday surge of a few teams, and the phase after it.
 * The same seed generates the same trace.
 */
export function generateLoad(
  deployment: Deployment,
  options: LoadOptions,
): Trace {
  const random = new RandomSource(options.seed);
  const phases = createPhases(options);
  const durationMs = phases.at(-1)!.endMs;
  const requests: TraceRequest[] = [];
  let chat = 0;
  for (const phase of phases) {
    const chatRate = chatsPerMs(deployment, phase);
    let atMs = phase.startMs + random.exponential(1 / chatRate);
    while (atMs < phase.endMs) {
      chat += 1;
      addChat(deployment, phases, chat, phase, atMs, random, requests);
      atMs += random.exponential(1 / chatRate);
    }
  }
  requests.sort((a, b) => a.atMs - b.atMs || a.chat - b.chat);
  return {
    head: {
      kind: "head",
      version: 1,
      seed: options.seed,
      deployment: deployment.name,
      durationMs,
      phases,
    },
    requests,
  };
}

function createPhases(options: LoadOptions): TracePhase[] {
  const calmEndMs = options.calmMs;
  const mondayMs = calmEndMs + options.weekendMs;
  const surgeEndMs = mondayMs + options.surgeMs;
  return [
    { name: "calm", startMs: 0, endMs: calmEndMs },
    { name: "weekend", startMs: calmEndMs, endMs: mondayMs },
    { name: "surge", startMs: mondayMs, endMs: surgeEndMs },
    {
      name: "after",
      startMs: surgeEndMs,
      endMs: surgeEndMs + options.afterMs,
    },
  ];
}

function chatsPerMs(deployment: Deployment, phase: TracePhase): number {
  const meanTurns = deployment.kinds.reduce(
    (sum, kind) => sum + kind.share * kind.meanTurns,
    0,
  );
  const calm = deployment.calmRequestsPerSecond / 1_000 / meanTurns;
  if (phase.name === "weekend") return calm * WEEKEND_RATE_FACTOR;
  if (phase.name === "surge") return calm * deployment.surgeFactor;
  return calm;
}

function addChat(
  deployment: Deployment,
  phases: readonly TracePhase[],
  chat: number,
  phase: TracePhase,
  firstAtMs: number,
  random: RandomSource,
  requests: TraceRequest[],
): void {
  const requestKind = random.weightedIndex(
    deployment.kinds.map((kind) => kind.share),
  );
  const kind = deployment.kinds[requestKind]!;
  const team = drawTeam(deployment, phase, random);
  const turns = drawTurns(kind, random);
  const endMs = phases.at(-1)!.endMs;
  let atMs = firstAtMs;
  let prefixTokens = 0;
  for (let turn = 1; turn <= turns && atMs < endMs; turn++) {
    const addedTokens = turn === 1
      ? random.logNormal(kind.firstPromptTokens, kind.promptSigma)
      : random.logNormal(kind.turnTokens, kind.promptSigma);
    const promptTokens = prefixTokens + Math.ceil(addedTokens);
    const answerTokens = Math.ceil(random.logNormal(kind.answerTokens, 0.4));
    requests.push({
      atMs,
      chat,
      turn,
      team,
      requestKind,
      prefixTokens,
      promptTokens,
      answerTokens,
    });
    prefixTokens = promptTokens + answerTokens;
    atMs = drawNextTurnAtMs(phases, atMs, random);
  }
}

/** Geometric distribution with the mean of the kind, at least one turn. */
function drawTurns(kind: RequestKind, random: RandomSource): number {
  let turns = 1;
  while (random.chance(1 - 1 / kind.meanTurns)) turns += 1;
  return turns;
}

function drawTeam(
  deployment: Deployment,
  phase: TracePhase,
  random: RandomSource,
): number {
  const isSurge = phase.name === "surge";
  if (isSurge && random.chance(LARGE_TEAM_SURGE_SHARE)) {
    return random.index(deployment.largeTeams);
  }
  return random.index(deployment.teams);
}

function drawNextTurnAtMs(
  phases: readonly TracePhase[],
  atMs: number,
  random: RandomSource,
): number {
  const pause = random.weightedIndex(PAUSE_WEIGHTS);
  if (pause === 0) return atMs + random.exponential(MEAN_SHORT_PAUSE_MS);
  if (pause === 1) return atMs + random.exponential(MEAN_LONG_PAUSE_MS);
  const mondayMs = phases.find((phase) => phase.name === "surge")!.startMs;
  const fromMs = Math.max(atMs, mondayMs);
  return fromMs + random.exponential(MEAN_RESUME_DELAY_MS);
}
