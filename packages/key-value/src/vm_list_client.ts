import { err, ok, type Result } from "neverthrow";
import { Agent, request as sendRequest } from "undici";
import { z } from "zod";
import {
  createStepError,
  type StepError,
  type TimerService,
} from "@coltsfootford/core";

/** Default timeout of one read of the list, including the connect. */
const DEFAULT_TIMEOUT_MS = 2_000;

/** A VM in the platform's list. */
export const vmSchema = z.object({
  name: z.string().min(1),
  role: z.enum(["daemon", "target"]),
  availabilityZone: z.string().min(1),
  /** The pool of a target. */
  pool: z.string().optional(),
  host: z.string().min(1),
  /** Port of a target's engine or service, or a daemon's port for clients. */
  port: z.int().min(0).max(65_535),
  /** A daemon's port for other daemons. */
  peerPort: z.int().min(0).max(65_535).optional(),
  state: z.enum(["live", "leaving"]),
});

/** The list of VMs. It lags behind the actual state of the VMs. */
export const vmListSchema = z.object({
  revision: z.int().nonnegative(),
  vms: z.array(vmSchema),
});

/** A VM in the platform's list. */
export type Vm = z.infer<typeof vmSchema>;
/** The list of VMs. */
export type VmList = z.infer<typeof vmListSchema>;
/** How a read of the list failed. */
export type VmListError = StepError<"unreachable" | "invalid-answer">;

/** Settings of a `VmListClient`. */
export interface VmListClientOptions {
  /** URL of the list, for example `http://host:port/v1/vms`. */
  readonly url: string;
  readonly timeoutMs?: number;
  readonly timer: TimerService;
}

/** Reads the platform's list of VMs. */
export class VmListClient {
  /** Calls made so far. */
  callCount = 0;
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #timer: TimerService;
  readonly #dispatcher = new Agent();

  constructor(options: VmListClientOptions) {
    this.#url = options.url;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#timer = options.timer;
  }

  /** Reads the list once. */
  async poll(): Promise<Result<VmList, VmListError>> {
    this.callCount += 1;
    const abort = new AbortController();
    const cancelTimer = this.#timer.after(
      this.#timeoutMs,
      () => abort.abort(new Error(`no response within ${this.#timeoutMs} ms`)),
    );
    try {
      const response = await sendRequest(this.#url, {
        dispatcher: this.#dispatcher,
        signal: abort.signal,
      });
      const body = await response.body.json();
      return this.#decode(response.statusCode, body);
    } catch (error) {
      return err(this.#createError("unreachable", error));
    } finally {
      cancelTimer();
    }
  }

  /** Closes idle connections. */
  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  #decode(statusCode: number, body: unknown): Result<VmList, VmListError> {
    if (statusCode !== 200) {
      return err(this.#createError("invalid-answer", `HTTP ${statusCode}`));
    }
    const parsed = vmListSchema.safeParse(body);
    if (!parsed.success) {
      return err(this.#createError("invalid-answer", parsed.error));
    }
    return ok(parsed.data);
  }

  #createError<Kind extends VmListError["kind"]>(
    kind: Kind,
    cause: unknown,
  ): StepError<Kind> {
    const message = kind === "unreachable"
      ? "the VM list can't be read; the last list stays in use"
      : "the response of the VM list is invalid; the last list stays in use";
    return createStepError(kind, "vm-list.poll", message, {
      peer: this.#url,
      cause,
    });
  }
}
