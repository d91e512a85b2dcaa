import { monotonicMs, type Run, type RunEnd } from "../truth/index.ts";
import type { ExpectedAnswer } from "./answer.ts";
import type { AnswerWriter, Usage } from "./answer_writer.ts";
import { BatchJob } from "./batch.ts";
import type { EngineFaults } from "./engine_faults.ts";

/** All that a chat job needs to know. */
export interface ChatJobParts {
  readonly priority: number;
  readonly prefillMs: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Tokens of the answer that the caller has already. */
  readonly resumeAfterTokens: number;
  readonly answer: ExpectedAnswer;
  /** The answer of another request, for the fault of crossed answers. */
  readonly crossedAnswer: ExpectedAnswer;
  readonly faults: EngineFaults;
  readonly createWriter: () => AnswerWriter;
  readonly run: Run;
  /** Crashes the whole engine. */
  readonly crash: () => void;
  /** Called once at the end, whatever the cause. */
  readonly onEnd: (end: RunEnd) => void;
}

/** One answer in the making. */
export class ChatJob extends BatchJob {
  override readonly priority: number;
  override readonly prefillMs: number;
  readonly #parts: ChatJobParts;
  readonly #answer: ExpectedAnswer;
  readonly #notBeforeMs: number;
  #writer: AnswerWriter | undefined;
  #nextToken: number;
  #hasEnded = false;

  constructor(parts: ChatJobParts) {
    super();
    this.#parts = parts;
    this.priority = parts.priority;
    this.prefillMs = parts.prefillMs;
    this.#nextToken = parts.resumeAfterTokens;
    this.#answer = parts.faults.crossedAnswers
      ? parts.crossedAnswer
      : parts.answer;
    this.#notBeforeMs = monotonicMs() + parts.faults.lateAnswersMs;
  }

  override get heldTokens(): number {
    return this.#parts.promptTokens + this.#nextToken;
  }

  override start(): void {
    if (this.#parts.faults.lateAnswersMs > 0 || this.#parts.faults.hang) return;
    this.#writer = this.#parts.createWriter();
  }

  override step(): boolean {
    const { faults } = this.#parts;
    if (faults.hang || monotonicMs() < this.#notBeforeMs) return false;
    this.#writer ??= this.#parts.createWriter();
    if (this.#writer.isBlocked) return false;
    if (this.#nextToken === faults.truncateAfterTokens) {
      this.#writer.truncate(faults.truncateCleanly);
      return this.#end("cut");
    }
    if (this.#nextToken === faults.killAfterTokens) {
      this.#parts.crash();
      return true;
    }
    const token = this.#answer.tokens[this.#nextToken];
    if (token === undefined) return this.#finish(this.#writer);
    this.#writeToken(this.#writer, token);
    this.#nextToken += 1;
    if (this.#nextToken < this.#answer.tokens.length) return false;
    if (this.#stopsAt(this.#nextToken)) return false;
    return this.#finish(this.#writer);
  }

  override abort(end: "cancelled" | "crashed"): void {
    this.#end(end);
  }

  #stopsAt(token: number): boolean {
    const { truncateAfterTokens, killAfterTokens } = this.#parts.faults;
    return token === truncateAfterTokens || token === killAfterTokens;
  }

  #writeToken(writer: AnswerWriter, token: string): void {
    writer.writeToken(this.#nextToken, token);
    if (this.#parts.faults.doubledChunks) {
      writer.repeatToken(this.#nextToken, token);
    }
    this.#parts.run.tokensSent += 1;
  }

  #finish(writer: AnswerWriter): boolean {
    const { tokens, finishReason } = this.#answer;
    const usage = this.#usage();
    if (this.#parts.faults.doubledAnswers) {
      writer.finishTwice(tokens, finishReason, usage);
    } else writer.finish(finishReason, usage);
    return this.#end("completed");
  }

  #usage(): Usage {
    const { promptTokens, cachedTokens } = this.#parts;
    const completionTokens = this.#answer.tokens.length;
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
    this.#parts.onEnd(end);
    return true;
  }
}
