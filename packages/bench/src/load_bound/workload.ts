import type { PromptDescription } from "@coltsfootford/core";
import type { RandomSource } from "../load/index.ts";

/** One kind of request, with the figures of a deployment's sheet. */
export interface WorkloadKind {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** Number of shared prompt parts, drawn by a Zipf distribution. */
  readonly subjects: number;
  readonly commonParts: number;
  readonly commonTokens: number;
  readonly subjectTokens: number;
  readonly ownTokens: number;
  readonly meanEvents: number;
}

/** Requests that concentrate on one subject for a while. */
export interface HotSubject {
  readonly kind: string;
  /** Share of the requests of the kind, from 0 to 1. */
  readonly share: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A request of the workload. */
export interface WorkloadRequest {
  readonly kind: WorkloadKind;
  readonly prompt: PromptDescription;
  readonly events: number;
}

/** The model service of a large deployment: about 100 targets of 12 slots. */
export const LARGE_MODEL_SERVICE: readonly WorkloadKind[] = [
  {
    name: "report",
    requestsPerSecond: 120,
    subjects: 507,
    commonParts: 1,
    commonTokens: 512,
    subjectTokens: 10_000,
    ownTokens: 1_300,
    meanEvents: 38.2,
  },
  {
    name: "chat",
    requestsPerSecond: 161,
    subjects: 679,
    commonParts: 16,
    commonTokens: 119,
    subjectTokens: 580,
    ownTokens: 130,
    meanEvents: 29.1,
  },
  {
    name: "tag",
    requestsPerSecond: 233,
    subjects: 438,
    commonParts: 80,
    commonTokens: 341,
    subjectTokens: 1_700,
    ownTokens: 360,
    meanEvents: 2.3,
  },
];

/** Exponent of the Zipf distribution of the subjects. */
const SUBJECT_SKEW = 0.3;
/** Sigma of the logarithm of the number of events. */
const EVENTS_SIGMA = 0.5;

/** Draws requests of the given kinds. */
export class Workload {
  readonly #kinds: readonly WorkloadKind[];
  readonly #random: RandomSource;
  readonly #hot: readonly HotSubject[];
  readonly #cumulativeWeights: ReadonlyMap<WorkloadKind, readonly number[]>;
  #requests = 0;

  constructor(
    kinds: readonly WorkloadKind[],
    hot: readonly HotSubject[],
    random: RandomSource,
  ) {
    this.#kinds = kinds;
    this.#hot = hot;
    this.#random = random;
    this.#cumulativeWeights = new Map(
      kinds.map((kind) => [kind, cumulateZipf(kind.subjects)]),
    );
  }

  get requestsPerSecond(): number {
    return this.#kinds.reduce((sum, kind) => sum + kind.requestsPerSecond, 0);
  }

  draw(nowMs: number): WorkloadRequest {
    const kind = this.#kinds[
      this.#random.weightedIndex(
        this.#kinds.map((one) => one.requestsPerSecond),
      )
    ]!;
    const subject = this.#drawSubject(kind, nowMs);
    const { name, commonTokens, subjectTokens, ownTokens } = kind;
    const parts = [
      { id: `${name}/${subject % kind.commonParts}`, tokens: commonTokens },
      { id: `${name}/subject-${subject}`, tokens: subjectTokens },
      { id: `own-${this.#requests++}`, tokens: ownTokens },
    ];
    // The median of a log-normal distribution with the given mean.
    const medianEvents = kind.meanEvents / Math.exp(EVENTS_SIGMA ** 2 / 2);
    const events = this.#random.logNormal(medianEvents, EVENTS_SIGMA);
    return {
      kind,
      prompt: {
        parts,
        promptTokens: commonTokens + subjectTokens + ownTokens,
        maxOutputTokens: 100,
      },
      events: Math.max(1, Math.round(events)),
    };
  }

  #drawSubject(kind: WorkloadKind, nowMs: number): number {
    for (const hot of this.#hot) {
      const isActive = nowMs >= hot.fromMs && nowMs < hot.untilMs;
      if (hot.kind !== kind.name || !isActive) continue;
      if (this.#random.chance(hot.share)) return kind.subjects - 1;
    }
    const weights = this.#cumulativeWeights.get(kind)!;
    const drawn = this.#random.float() * weights.at(-1)!;
    return weights.findIndex((weight) => drawn < weight);
  }
}

function cumulateZipf(count: number): number[] {
  const weights: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= count; rank++) {
    sum += rank ** -SUBJECT_SKEW;
    weights.push(sum);
  }
  return weights;
}
