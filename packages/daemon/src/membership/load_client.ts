import { createStepError, type StepError } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { Socket } from "node:net";
import { Agent, buildConnector } from "undici";
import { z } from "zod";
import type { TargetView } from "../blackboard/index.ts";
import { TrafficCounter, type TrafficSnapshot } from "../peers/index.ts";

const TIMEOUT_MS = 900;
const KEEP_ALIVE_MS = 10_000;
const STATUS_OK = 200;

const loadAnswerSchema = z.looseObject({
  incarnation: z.union([z.string(), z.number()]).transform(String),
  running_requests: z.number(),
  waiting_requests: z.number(),
  running_tokens: z.number().default(0),
  leaving: z.boolean(),
});

/** What a target answers when it is asked for its load. */
export type LoadAnswer = z.infer<typeof loadAnswerSchema>;

/** Asks targets for their load, over kept connections whose bytes it counts. */
export class LoadClient {
  readonly #traffic = new TrafficCounter();
  readonly #agent: Agent;

  constructor() {
    const connect = buildConnector({ timeout: TIMEOUT_MS });
    this.#agent = new Agent({
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
      connect: (options, callback) =>
        connect(options, (...[error, socket]) => {
          if (error) return callback(error, null);
          this.#traffic.track(socket as Socket);
          callback(null, socket as Socket);
        }),
    });
  }

  /** Bytes at the sockets since the start. */
  traffic(): TrafficSnapshot {
    return this.#traffic.snapshot();
  }

  /** Asks one target. */
  async read(
    target: TargetView,
  ): Promise<Result<LoadAnswer, StepError<"unreachable" | "invalid-answer">>> {
    const host = target.host.includes(":") ? `[${target.host}]` : target.host;
    try {
      const response = await this.#agent.request({
        origin: `http://${host}:${target.port}`,
        path: "/load",
        method: "GET",
      });
      const body = await response.body.json();
      const parsed = loadAnswerSchema.safeParse(body);
      if (response.statusCode === STATUS_OK && parsed.success) {
        return ok(parsed.data);
      }
      return err(createStepError(
        "invalid-answer",
        "target.load",
        `status ${response.statusCode}: ${parsed.error?.message ?? ""}`,
        { peer: target.name },
      ));
    } catch (cause) {
      const message = "the target does not answer";
      const parts = { peer: target.name, cause };
      return err(createStepError("unreachable", "target.load", message, parts));
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
