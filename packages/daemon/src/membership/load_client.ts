import { createStepError, type StepError } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { Socket } from "node:net";
import { Agent } from "undici";
import { z } from "zod";
import type { TargetView } from "../blackboard/index.ts";
import { createBoundedConnector } from "../targets/index.ts";
import { TrafficCounter, type TrafficSnapshot } from "../peers/index.ts";

const LOAD_TIMEOUT_MS = 900;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
/** Largest load report that is read. */
const MAX_RESPONSE_BYTES = 64 * 1024;
const STATUS_OK = 200;

const loadResponseSchema = z.looseObject({
  incarnation: z.union([z.string(), z.number()]).transform(String),
  running_requests: z.number(),
  waiting_requests: z.number(),
  running_tokens: z.number().default(0),
  leaving: z.boolean(),
});

/** The response of a target to a load request. */
export type LoadResponse = z.infer<typeof loadResponseSchema>;

/** Queries the load of targets over keep-alive connections, counting bytes. */
export class LoadClient {
  readonly #traffic = new TrafficCounter();
  readonly #agent: Agent;

  constructor() {
    const connect = createBoundedConnector(
      LOAD_TIMEOUT_MS,
      2 * MAX_RESPONSE_BYTES,
    );
    this.#agent = new Agent({
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: LOAD_TIMEOUT_MS,
      bodyTimeout: LOAD_TIMEOUT_MS,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: (options, callback) =>
        connect(options, (...[error, socket]) => {
          if (error) return callback(error, null);
          this.#traffic.track(socket as Socket);
          callback(null, socket as Socket);
        }),
    });
  }

  /** Bytes on the sockets since the start. */
  traffic(): TrafficSnapshot {
    return this.#traffic.snapshot();
  }

  /** Queries the load of one target. */
  async fetchLoad(
    target: TargetView,
  ): Promise<
    Result<LoadResponse, StepError<"unreachable" | "invalid-answer">>
  > {
    const host = target.host.includes(":") ? `[${target.host}]` : target.host;
    try {
      const response = await this.#agent.request({
        origin: `http://${host}:${target.port}`,
        path: "/load",
        method: "GET",
      });
      const body = await response.body.json();
      const parsed = loadResponseSchema.safeParse(body);
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
      const fields = { peer: target.name, cause };
      return err(
        createStepError("unreachable", "target.load", message, fields),
      );
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
