import { randomUUID } from "node:crypto";
import { type Context, Hono } from "hono";
import type { z } from "zod";
import { HttpListener, type NodeEnv } from "../http/index.ts";
import { StandIn } from "../stand_in.ts";
import type { SharedTruth } from "../truth/index.ts";
import { LoadReports, type LoadSample } from "./load_reports.ts";
import { mergeFaults, type TargetFaults } from "./target_faults.ts";

/** The options that all kinds of targets have in common. */
export interface TargetOptions {
  /** Name of the VM. */
  readonly name: string;
  readonly pool: string;
  readonly host: string;
  readonly port: number;
  readonly loadReportLagMs: number;
}

/**
 * Stand-in of a target VM: health, load reports, crash, restart and the faults
 * that all kinds of targets have in common.
 */
export abstract class Target<F extends TargetFaults> extends StandIn {
  override readonly name: string;
  readonly truth: SharedTruth;
  protected readonly app = new Hono<NodeEnv>();
  protected currentFaults: F;
  readonly #options: TargetOptions;
  readonly #faultsSchema: z.ZodType<F>;
  readonly #loadReports: LoadReports;
  #incarnation = randomUUID();
  #crashes = 0;
  #poisonedRequests: string[] = [];
  #listener: HttpListener | undefined;
  #restartTimer: NodeJS.Timeout | undefined;

  constructor(
    options: TargetOptions,
    faultsSchema: z.ZodType<F>,
    faults: F,
    truth: SharedTruth,
  ) {
    super();
    this.name = options.name;
    this.truth = truth;
    this.currentFaults = faults;
    this.#options = options;
    this.#faultsSchema = faultsSchema;
    this.#loadReports = new LoadReports(options.loadReportLagMs);
    this.app.use("*", async (context, next) => {
      await next();
      const requestId = context.req.header("x-request-id");
      const isRejection = context.res.headers.get("x-target-ran") === "no";
      if (isRejection && requestId !== undefined) {
        context.res.headers.set("x-request-id", requestId);
      }
      const { leaving, retryAfterS } = this.currentFaults;
      if (leaving) {
        context.res.headers.set("x-target-leaving", this.#incarnation);
      }
      if (isRejection && retryAfterS !== null) {
        context.res.headers.set("retry-after", String(retryAfterS));
      }
    });
    this.app.get("/health", (context) => context.json({ status: "ok" }));
    this.app.get("/load", (context) => this.#handleLoad(context));
  }

  override get port(): number {
    return this.#listener?.port ?? 0;
  }

  override async applyFaults(faults: unknown): Promise<void> {
    this.currentFaults = mergeFaults(
      this.#faultsSchema,
      this.currentFaults,
      faults,
    );
    this.#loadReports.lagMs = this.currentFaults.loadReportLagMs ??
      this.#options.loadReportLagMs;
    const isOpen = this.#listener?.isOpen ?? false;
    if (this.currentFaults.down && isOpen) await this.#stop();
    if (!this.currentFaults.down && !isOpen) await this.#restart();
    this.#updateServingState();
  }

  override describeTruth(): Record<string, unknown> {
    return {
      pool: this.#options.pool,
      incarnation: this.#incarnation,
      crashes: this.#crashes,
      poisonedRequests: this.#poisonedRequests,
      faults: this.currentFaults,
    };
  }

  override async reset(): Promise<void> {
    this.currentFaults = this.#faultsSchema.parse({});
    this.#crashes = 0;
    this.#poisonedRequests = [];
    await this.applyFaults({});
  }

  override async close(): Promise<void> {
    clearTimeout(this.#restartTimer);
    const closed = this.#listener?.close();
    this.abortRuns();
    await closed;
  }

  /**
   * Crashes like a killed process. With `restartAfterMs` the target restarts
   * after that time.
   */
  crash(): void {
    this.#crashes += 1;
    this.currentFaults = { ...this.currentFaults, down: true };
    this.#updateServingState();
    void this.#stop();
    const { restartAfterMs } = this.currentFaults;
    if (restartAfterMs === null) return;
    this.#restartTimer = setTimeout(
      () => void this.applyFaults({ down: false }),
      restartAfterMs,
    );
  }

  /** Aborts all runs, as a crash of the process does. */
  protected abstract abortRuns(): void;

  /** Starts to listen; called once, after all routes are added. */
  protected async listen(): Promise<void> {
    this.#listener = await HttpListener.start({
      app: this.app,
      host: this.#options.host,
      port: this.#options.port,
      acceptRequest: (_request, index) =>
        index === 0 || !this.currentFaults.closeIdleOnWrite,
    });
    await this.applyFaults({});
  }

  protected recordLoad(sample: LoadSample): void {
    this.#loadReports.record(sample);
  }

  /** Crashes and returns true if the body contains a poison marker. */
  protected crashOnPoison(body: string, requestId: string): boolean {
    const { poisonMarkers } = this.currentFaults;
    if (!poisonMarkers.some((marker) => body.includes(marker))) return false;
    this.#poisonedRequests.push(requestId);
    this.crash();
    return true;
  }

  /**
   * Returns the faults of one response and counts it in `remainingRequests`.
   * At a count of zero all faults are off.
   */
  protected consumeResponseFaults(): F {
    const faults = this.currentFaults;
    const { remainingRequests } = faults;
    if (remainingRequests === null) return faults;
    if (remainingRequests === 0) return this.#faultsSchema.parse({});
    this.currentFaults = {
      ...faults,
      remainingRequests: remainingRequests - 1,
    };
    return faults;
  }

  async #stop(): Promise<void> {
    const closed = this.#listener?.close();
    this.abortRuns();
    await closed;
  }

  async #restart(): Promise<void> {
    this.#incarnation = randomUUID();
    await this.#listener?.open();
  }

  #updateServingState(): void {
    const { down, leaving } = this.currentFaults;
    const isServing = !down && !leaving;
    this.truth.admissions.setTarget(this.name, this.#options.pool, isServing);
  }

  #handleLoad(context: Context<NodeEnv>): Response {
    if (this.currentFaults.failLoadReports) return context.text("failed", 500);
    return context.json({
      incarnation: this.#incarnation,
      ...this.#loadReports.read(),
      leaving: this.currentFaults.leaving,
    });
  }
}
