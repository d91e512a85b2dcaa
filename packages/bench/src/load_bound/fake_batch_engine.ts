import { type PromptDescription, type ReportedLoad } from "@coltsfootford/core";
import type { EventHeap } from "../replay/index.ts";

/** Prompt tokens that an engine reads in a ms. */
const PROMPT_TOKENS_PER_MS = 61.8;
/** Time from the end of the prompt to the first event. */
const FIRST_EVENT_MS = 3.7;
/** Tokens of one event of a stream. */
const EVENT_TOKENS = 10;
const STEP_MS = 3.09;
const STEP_MS_PER_REQUEST = 0.0165;
/** Time per token of a fetch from another engine's cache. */
const FETCH_MS_PER_TOKEN = 0.005;
export const ENGINE_SLOTS = 12;

/** A request at a `FakeBatchEngine`. */
export interface EngineJob {
  readonly prompt: PromptDescription;
  readonly events: number;
  /** Leading shared tokens that are fetched in place of being read. */
  readonly fetchableTokens: number;
  onFirstEvent(load: ReportedLoad): void;
  onEnd(): void;
}

/** A target with a batch of slots, a waiting line and a prompt cache. */
export class FakeBatchEngine {
  readonly #heap: EventHeap;
  readonly #reportLagMs: number;
  readonly #cachedParts = new Set<string>();
  readonly #waiting: EngineJob[] = [];
  /** Changes of the load, for reports of a moment in the past. */
  readonly #loadChanges: { readonly atMs: number; readonly load: number }[] =
    [];
  #running = 0;
  #readingUntilMs = 0;

  constructor(heap: EventHeap, reportLagMs: number) {
    this.#heap = heap;
    this.#reportLagMs = reportLagMs;
  }

  /** Requests that were accepted and have not ended. */
  get load(): number {
    return this.#running + this.#waiting.length;
  }

  accept(job: EngineJob): void {
    this.#waiting.push(job);
    this.#recordLoad();
    this.#startWaiting();
  }

  #startWaiting(): void {
    while (this.#running < ENGINE_SLOTS) {
      const job = this.#waiting.shift();
      if (!job) return;
      this.#running += 1;
      this.#run(job);
    }
  }

  #run(job: EngineJob): void {
    const { prompt, fetchableTokens } = job;
    const cachedTokens = this.#readThroughCache(prompt);
    const fetched = Math.max(0, fetchableTokens - cachedTokens);
    const read = prompt.promptTokens - cachedTokens - fetched;
    const startMs = Math.max(this.#heap.nowMs, this.#readingUntilMs);
    this.#readingUntilMs = startMs + read / PROMPT_TOKENS_PER_MS +
      fetched * FETCH_MS_PER_TOKEN;
    const firstEventAtMs = this.#readingUntilMs + FIRST_EVENT_MS;
    const eventMs = EVENT_TOKENS *
      (STEP_MS + STEP_MS_PER_REQUEST * this.#running);
    this.#heap.at(firstEventAtMs, () => job.onFirstEvent(this.#reportLoad()));
    this.#heap.at(firstEventAtMs + (job.events - 1) * eventMs, () => {
      this.#running -= 1;
      this.#recordLoad();
      job.onEnd();
      this.#startWaiting();
    });
  }

  /** Returns the leading tokens that were cached, and caches all parts. */
  #readThroughCache(prompt: PromptDescription): number {
    let cachedTokens = 0;
    let isLeading = true;
    for (const { id, tokens } of prompt.parts) {
      isLeading &&= this.#cachedParts.has(id);
      if (isLeading) cachedTokens += tokens;
      this.#cachedParts.add(id);
    }
    return cachedTokens;
  }

  #recordLoad(): void {
    const atMs = this.#heap.nowMs;
    this.#loadChanges.push({ atMs, load: this.load });
    while (this.#loadChanges.length > 1) {
      if (this.#loadChanges[1]!.atMs > atMs - this.#reportLagMs) return;
      this.#loadChanges.shift();
    }
  }

  #reportLoad(): ReportedLoad {
    const asOfMs = this.#heap.nowMs - this.#reportLagMs;
    const load = this.#loadChanges.findLast(({ atMs }) => atMs <= asOfMs)
      ?.load ?? 0;
    const runningRequests = Math.min(load, ENGINE_SLOTS);
    return {
      runningRequests,
      waitingRequests: load - runningRequests,
      slots: ENGINE_SLOTS,
    };
  }
}
