import type { TimerService } from "@coltsfootford/core";
import { request } from "undici";
import { z } from "zod";
import type { TargetView } from "../blackboard/index.ts";

/** Time in which the other requests of a crashed target fail as well. */
const SETTLE_MS = 30;
const PROBE_TIMEOUT_MS = 500;
/** A remembered incarnation is read again after this time. */
const INCARNATION_MAX_AGE_MS = 30_000;

const loadSchema = z.looseObject({ incarnation: z.string() });

/** What a look at a target showed. */
type Probe =
  | { readonly kind: "up"; readonly incarnation: string }
  | { readonly kind: "refused" }
  /** No answer, which a network failure explains as well as a crash. */
  | { readonly kind: "unclear" };

/** Further failures within this time after a crash are part of it. */
const SAME_CRASH_MS = 1_000;

interface FoundCrash {
  readonly crashId: string;
  readonly foundAtMs: number;
}

interface KnownIncarnation {
  readonly incarnation: string;
  readonly readAtMs: number;
}

/**
 * Tells the crash of a target from the loss of a connection to it: after a
 * crash nothing listens, or another incarnation does.
 */
export class CrashDetector {
  readonly #timer: TimerService;
  readonly #known = new Map<string, KnownIncarnation>();
  readonly #reading = new Set<string>();
  readonly #lastCrash = new Map<string, FoundCrash>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Remembers the target's incarnation; called when a request is sent. */
  async learn(target: TargetView): Promise<void> {
    const known = this.#known.get(target.name);
    const nowMs = this.#timer.nowMs();
    if (known && nowMs - known.readAtMs < INCARNATION_MAX_AGE_MS) return;
    if (this.#reading.has(target.name)) return;
    this.#reading.add(target.name);
    const probe = await probeTarget(target);
    this.#reading.delete(target.name);
    if (probe.kind === "up") this.#remember(target, probe.incarnation);
  }

  /**
   * Looks at a target whose connection failed. Resolves with the name of the
   * crash, or with undefined where it did not crash or nothing shows it.
   */
  async findCrash(target: TargetView): Promise<string | undefined> {
    const before = this.#known.get(target.name)?.incarnation;
    await new Promise<void>((resolve) => {
      this.#timer.after(SETTLE_MS, resolve);
    });
    const probe = await probeTarget(target);
    if (probe.kind === "unclear") return undefined;
    if (probe.kind === "refused") {
      this.#known.delete(target.name);
      return this.#nameCrash(target, before);
    }
    this.#remember(target, probe.incarnation);
    if (before === undefined || before === probe.incarnation) return undefined;
    return this.#nameCrash(target, before);
  }

  #nameCrash(target: TargetView, incarnation: string | undefined): string {
    const nowMs = this.#timer.nowMs();
    const last = this.#lastCrash.get(target.name);
    const isSame = last && incarnation === undefined &&
      nowMs - last.foundAtMs < SAME_CRASH_MS;
    if (isSame) return last.crashId;
    const run = incarnation ?? `seen-at-${Math.round(nowMs)}`;
    const crashId = `${target.name}/${run}`;
    this.#lastCrash.set(target.name, { crashId, foundAtMs: nowMs });
    return crashId;
  }

  #remember(target: TargetView, incarnation: string): void {
    const readAtMs = this.#timer.nowMs();
    this.#known.set(target.name, { incarnation, readAtMs });
  }
}

async function probeTarget(target: TargetView): Promise<Probe> {
  const host = target.host.includes(":") ? `[${target.host}]` : target.host;
  try {
    const answer = await request(`http://${host}:${target.port}/load`, {
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      reset: true,
    });
    const load = loadSchema.safeParse(await answer.body.json());
    if (!load.success) return { kind: "unclear" };
    return { kind: "up", incarnation: load.data.incarnation };
  } catch (cause) {
    const code = (cause as { code?: unknown }).code;
    return { kind: code === "ECONNREFUSED" ? "refused" : "unclear" };
  }
}
