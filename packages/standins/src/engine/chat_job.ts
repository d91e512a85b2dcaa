import { monotonicMs, type Run, type RunEnd } from "../truth/index.ts";
import type { ExpectedCompletion } from "./completion.ts";
import type { ResponseWriter, Usage } from "./response_writer.ts";
import { BatchJob } from "./batch.ts";
import type { EngineFaults } from "./engine_faults.ts";

/** The inputs of a chat job. */
export interface ChatJobDependencies {
  readonly priority: number;
  readonly prefillMs: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Tokens of the completion that the client has received already. */
  readonly resumeAfterTokens: number;
  readonly completion: ExpectedCompletion;
  /** The completion of another request, for the fault `crossedAnswers`. */
  readonly crossedCompletion: ExpectedCompletion;
  readonly faults: EngineFaults;
  readonly createWriter: () => ResponseWriter;
  readonly run: Run;
  /** Crashes the engine. */
  readonly crash: () => void;
  /** Called once at the end, whatever the cause. */
  readonly onEnd: (end: RunEnd) => void;
}

/** Generates the completion of one request as a job of the batch. */
export class ChatJob extends BatchJob {
  override readonly priority: number;
  override readonly prefillMs: number;
  readonly #dependencies: ChatJobDependencies;
  readonly #completion: ExpectedCompletion;
  readonly #notBeforeMs: number;
  #writer: ResponseWriter | undefined;
  #nextToken: number;
  #hasEnded = false;

  constructor(dependencies: ChatJobDependencies) {
    super();
    this.#dependencies = dependencies;
    this.priority = dependencies.priority;
    this.prefillMs = dependencies.prefillMs;
    this.#nextToken = dependencies.resumeAfterTokens;
    this.#completion = dependencies.faults.crossedAnswers
      ? dependencies.crossedCompletion
      : dependencies.completion;
    this.#notBeforeMs = monotonicMs() + dependencies.faults.lateAnswersMs;
  }

  override get contextTokens(): number {
    return this.#dependencies.promptTokens + this.#nextToken;
  }

  override start(): void {
    if (
      this.#dependencies.faults.lateAnswersMs > 0 ||
      this.#dependencies.faults.hang
    ) return;
    this.#writer = this.#dependencies.createWriter();
  }

  override step(): boolean {
    const { faults } = this.#dependencies;
    if (faults.hang || monotonicMs() < this.#notBeforeMs) return false;
    this.#writer ??= this.#dependencies.createWriter();
    if (this.#writer.isBlocked) return false;
    if (this.#nextToken === faults.truncateAfterTokens) {
      this.#writer.truncate(faults.truncateCleanly);
      return this.#end("cut");
    }
    if (this.#nextToken === faults.killAfterTokens) {
      this.#dependencies.crash();
      return true;
    }
    const token = this.#completion.tokens[this.#nextToken];
    if (token === undefined) return this.#finish(this.#writer);
    this.#writeToken(this.#writer, token);
    this.#nextToken += 1;
    if (this.#nextToken < this.#completion.tokens.length) return false;
    if (this.#stopsAt(this.#nextToken)) return false;
    return this.#finish(this.#writer);
  }

  override abort(end: "cancelled" | "crashed"): void {
    this.#end(end);
  }

  #stopsAt(token: number): boolean {
    const { truncateAfterTokens, killAfterTokens } = this.#dependencies.faults;
    return token === truncateAfterTokens || token === killAfterTokens;
  }

  #writeToken(writer: ResponseWriter, token: string): void {
    writer.writeToken(this.#nextToken, token);
    if (this.#dependencies.faults.doubledChunks) {
      writer.writeDuplicateToken(this.#nextToken, token);
    }
    this.#dependencies.run.tokensSent += 1;
  }

  #finish(writer: ResponseWriter): boolean {
    const { tokens, finishReason } = this.#completion;
    const usage = this.#usage();
    if (this.#dependencies.faults.doubledAnswers) {
      writer.finishWithDuplicate(tokens, finishReason, usage);
    } else writer.finish(finishReason, usage);
    return this.#end("completed");
  }

  #usage(): Usage {
    const { promptTokens, cachedTokens } = this.#dependencies;
    const completionTokens = this.#completion.tokens.length;
    return {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    };
  }

  #end(end: RunEnd): boolean {
    if (this.#hasEnded) return true;
    this.#hasEnded = true;
    this.#dependencies.onEnd(end);
    return true;
  }
}
