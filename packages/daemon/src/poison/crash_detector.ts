import type { TimerService } from "@coltsfootford/core";
import { Agent, request } from "undici";
import { z } from "zod";
import type { TargetView } from "../blackboard/index.ts";
import { createBoundedConnector } from "../targets/index.ts";

/** Time until the other requests of a crashed target have failed as well. */
const SETTLE_MS = 30;
const PROBE_TIMEOUT_MS = 500;
/** Largest response to a probe that is read. */
const MAX_RESPONSE_BYTES = 64 * 1024;
/** A faulty target may respond to a probe with bytes without end. */
const PROBE_AGENT = new Agent({
  connect: createBoundedConnector(PROBE_TIMEOUT_MS, 2 * MAX_RESPONSE_BYTES),
  maxResponseSize: MAX_RESPONSE_BYTES,
});
/** Age after which a recorded incarnation is probed again. */
const INCARNATION_MAX_AGE_MS = 30_000;

const loadSchema = z.looseObject({ incarnation: z.string() });

/** The result of a probe of a target. */
type Probe =
  | { readonly kind: "up"; readonly incarnation: string }
  | { readonly kind: "refused" }
  /** No response; the cause may be a network failure or a crash. */
  | { readonly kind: "unclear" };

/** Further failures within this time after a crash belong to that crash. */
const SAME_CRASH_PERIOD_MS = 1_000;

interface DetectedCrash {
  readonly crashId: string;
  readonly detectedAtMs: number;
}

interface RecordedIncarnation {
  readonly incarnation: string;
  readonly readAtMs: number;
}

/**
 * Distinguishes the crash of a target from the loss of a connection to it:
 * after a crash no process listens, or another incarnation of the target does.
 */
export class CrashDetector {
  readonly #timer: TimerService;
  readonly #incarnations = new Map<string, RecordedIncarnation>();
  readonly #probing = new Set<string>();
  readonly #lastCrash = new Map<string, DetectedCrash>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records the target's incarnation; called when a request is sent. */
  async recordIncarnation(target: TargetView): Promise<void> {
    const known = this.#incarnations.get(target.name);
    const nowMs = this.#timer.nowMs();
    if (known && nowMs - known.readAtMs < INCARNATION_MAX_AGE_MS) return;
    if (this.#probing.has(target.name)) return;
    this.#probing.add(target.name);
    const probe = await probeTarget(target);
    this.#probing.delete(target.name);
    if (probe.kind === "up") this.#setIncarnation(target, probe.incarnation);
  }

  /**
   * Probes a target whose connection failed. Resolves with the id of the
   * crash, or with undefined if the target did not crash or the probe is
   * unclear.
   */
  async detectCrash(target: TargetView): Promise<string | undefined> {
    const prior = this.#incarnations.get(target.name)?.incarnation;
    await new Promise<void>((resolve) => {
      this.#timer.after(SETTLE_MS, resolve);
    });
    const probe = await probeTarget(target);
    if (probe.kind === "unclear") return undefined;
    if (probe.kind === "refused") {
      this.#incarnations.delete(target.name);
      return this.#createCrashId(target, prior);
    }
    this.#setIncarnation(target, probe.incarnation);
    if (prior === undefined || prior === probe.incarnation) return undefined;
    return this.#createCrashId(target, prior);
  }

  #createCrashId(target: TargetView, incarnation: string | undefined): string {
    const nowMs = this.#timer.nowMs();
    const last = this.#lastCrash.get(target.name);
    const isSame = last && incarnation === undefined &&
      nowMs - last.detectedAtMs < SAME_CRASH_PERIOD_MS;
    if (isSame) return last.crashId;
    const incarnationId = incarnation ?? `seen-at-${Math.round(nowMs)}`;
    const crashId = `${target.name}/${incarnationId}`;
    this.#lastCrash.set(target.name, { crashId, detectedAtMs: nowMs });
    return crashId;
  }

  #setIncarnation(target: TargetView, incarnation: string): void {
    const readAtMs = this.#timer.nowMs();
    this.#incarnations.set(target.name, { incarnation, readAtMs });
  }
}

async function probeTarget(target: TargetView): Promise<Probe> {
  const host = target.host.includes(":") ? `[${target.host}]` : target.host;
  try {
    const response = await request(`http://${host}:${target.port}/load`, {
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      reset: true,
      dispatcher: PROBE_AGENT,
    });
    const load = loadSchema.safeParse(await response.body.json());
    if (!load.success) return { kind: "unclear" };
    return { kind: "up", incarnation: load.data.incarnation };
  } catch (cause) {
    const code = (cause as { code?: unknown }).code;
    return { kind: code === "ECONNREFUSED" ? "refused" : "unclear" };
  }
}
