import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher, request as sendRequest } from "undici";
import { z } from "zod";
import type { TimerService } from "@coltsfootford/core";
import { type CliError, createCliError } from "../cli_error.ts";

/** Timeout of a request, including the connect. */
const TIMEOUT_MS = 3_000;

const targetStatusSchema = z.object({
  name: z.string(),
  availabilityZone: z.string(),
  pool: z.string(),
  state: z.string(),
});

/** The fields of the response of `GET /status` that the tool uses. */
export const daemonStatusSchema = z.object({
  vm: z.string(),
  availabilityZone: z.string(),
  phase: z.string(),
  configRevision: z.int().nonnegative(),
  configNonce: z.string().default(""),
  runningRequests: z.int().nonnegative().default(0),
  targets: z.array(targetStatusSchema).default([]),
});

/** The status of one daemon. */
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;

/** A client of the daemons' admin ports. */
export class AdminClient {
  readonly #timer: TimerService;
  readonly #dispatcher = new Agent({ connect: { timeout: TIMEOUT_MS } });

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Reads a daemon's status. */
  async getStatus(url: string): Promise<Result<DaemonStatus, CliError>> {
    const body = await this.#send(url, "GET", "/status");
    return body.andThen((value) => {
      const parsed = daemonStatusSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      const message = "the daemon's status is invalid; update the daemon";
      return err(createDaemonError(url, "GET /status", message, parsed.error));
    });
  }

  /** Reads a daemon's state. */
  async getDump(url: string): Promise<Result<unknown, CliError>> {
    return await this.#send(url, "GET", "/dump");
  }

  /** Requests that a daemon drain a target. */
  async drain(url: string, target: string): Promise<Result<unknown, CliError>> {
    return await this.#send(url, "POST", "/drain", { target });
  }

  /** Closes idle connections. */
  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  async #send(
    url: string,
    method: "GET" | "POST",
    path: string,
    body?: object,
  ): Promise<Result<unknown, CliError>> {
    const step = `${method} ${path}`;
    const abort = new AbortController();
    const cancelTimer = this.#timer.after(TIMEOUT_MS, () => abort.abort());
    try {
      const response = await sendRequest(`${url}${path}`, {
        method,
        dispatcher: this.#dispatcher,
        signal: abort.signal,
        ...(body
          ? {
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
          }
          : {}),
      });
      return await readResponse(url, step, response);
    } catch (cause) {
      const message = "the daemon can't be reached; check its admin address";
      return err(createDaemonError(url, step, message, cause));
    } finally {
      cancelTimer();
    }
  }
}

async function readResponse(
  url: string,
  step: string,
  response: Dispatcher.ResponseData,
): Promise<Result<unknown, CliError>> {
  const text = await response.body.text();
  if (response.statusCode === 404) {
    const message = "the daemon found nothing with this name; check the name";
    return err(createCliError("not-found", step, message, { peer: url }));
  }
  if (response.statusCode !== 200) {
    const message = `the daemon returned HTTP ${response.statusCode}`;
    return err(createDaemonError(url, step, message, text));
  }
  return ok(JSON.parse(text));
}

function createDaemonError(
  url: string,
  step: string,
  message: string,
  cause: unknown,
): CliError {
  return createCliError("daemon-unreachable", step, message, {
    peer: url,
    cause,
  });
}
