import { z } from "zod";

/** Most concurrent requests and longest start that a target can report. */
const MAX_SLOTS = 1_000_000;
export const MAX_COLD_MS = 86_400_000;

/**
 * The registration that a target writes for itself. Daemons connect to its
 * address and send its id in headers, so no other values are accepted.
 */
export const TargetRegistrationSchema = z.object({
  id: z.string().regex(/^[\x21-\x7e]+$/, "must be printable ASCII"),
  /** When this incarnation started, in ms since 1970; 0 where not reported. */
  bornAtMs: z.int().nonnegative(),
  /** Increases with each registration of one incarnation. */
  sequence: z.int().nonnegative(),
  service: z.string().min(1),
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(1).max(65_535),
  availabilityZone: z.string(),
  slots: z.int().nonnegative().max(MAX_SLOTS),
  isLeaving: z.boolean(),
  /** Remaining time for which the target is slow after its start. */
  coldLeftMs: z.number().nonnegative().max(MAX_COLD_MS),
}).readonly();
export type TargetRegistration = z.infer<typeof TargetRegistrationSchema>;

/** A registered target with the name of its incarnation. */
export interface RegisteredTarget extends TargetRegistration {
  /** Names one incarnation: the id and the start of the target. */
  readonly incarnation: string;
}

/**
 * `serving` targets get work. `lapsed` targets lost their registration during a
 * store outage; they get work until the registration should be back. `leaving`
 * and `gone` targets get none. Both states are final for an incarnation, except
 * that a newer registration makes a `gone` target serve again.
 */
type RegistryState = "serving" | "lapsed" | "leaving" | "gone";

interface RegistryEntry {
  readonly target: RegisteredTarget;
  state: RegistryState;
  lapsedUntilMs: number;
}

/**
 * How long a registration that lapsed in a store outage may be missing after
 * the store is back: targets register again within two seconds, by the
 * platform's protocol, and a response of the store may take another 0.5 s.
 */
export const LAPSED_GRACE_MS = 2_500;

/** Entries without a current registration are removed after this time. */
const MISSING_ENTRY_TTL_MS = 120_000;

/**
 * The targets that may get work. An incarnation that was registered as leaving
 * never serves again, even if an old registration arrives later.
 */
export class TargetRegistry {
  readonly #entries = new Map<string, RegistryEntry>();
  readonly #missingSinceMs = new Map<string, number>();

  /**
   * Applies all current registrations. With `isAfterOutage` the store
   * had an outage shortly before, so a missing registration does not mean that
   * its target has left.
   */
  update(
    registrations: readonly TargetRegistration[],
    nowMs: number,
    isAfterOutage: boolean,
  ): void {
    const present = new Set<string>();
    for (const registration of registrations) {
      present.add(registration.id);
      this.#applyRegistration(registration);
    }
    for (const [id, entry] of this.#entries) {
      if (!present.has(id)) this.#markMissing(id, entry, nowMs, isAfterOutage);
    }
    this.#removeExpired(nowMs);
  }

  /** The registrations of targets that were seen leaving. */
  leaving(): TargetRegistration[] {
    return [...this.#entries.values()]
      .filter(({ state }) => state === "leaving")
      .map(({ target: { incarnation: _, ...registration } }) => registration);
  }

  /**
   * Records that a target leaves, by its own response or by another daemon.
   * Returns whether that was unknown.
   */
  recordLeaving(registration: TargetRegistration, nowMs: number): boolean {
    const { id, bornAtMs } = registration;
    const entry = this.#entries.get(id);
    if (entry && entry.target.bornAtMs > bornAtMs) return false;
    const isSame = entry?.target.bornAtMs === bornAtMs;
    if (isSame && entry?.state === "leaving") return false;
    if (!entry) this.#missingSinceMs.set(id, nowMs);
    this.#setEntry({ ...registration, isLeaving: true }, "leaving");
    return true;
  }

  /** The targets that may get work now. */
  eligible(nowMs: number): RegisteredTarget[] {
    const targets: RegisteredTarget[] = [];
    for (const entry of this.#entries.values()) {
      if (isEligible(entry, nowMs)) targets.push(entry.target);
    }
    return targets;
  }

  /** The time at which the next lapsed target ceases to be eligible. */
  nextLapseAtMs(nowMs: number): number | undefined {
    let next: number | undefined;
    for (const entry of this.#entries.values()) {
      if (entry.state !== "lapsed" || entry.lapsedUntilMs <= nowMs) continue;
      next = Math.min(next ?? Infinity, entry.lapsedUntilMs);
    }
    return next;
  }

  /** The state of each target, for logs and dumps. */
  states(): ReadonlyMap<string, string> {
    return new Map(
      [...this.#entries].map(([id, entry]) => [id, entry.state]),
    );
  }

  #applyRegistration(registration: TargetRegistration): void {
    const entry = this.#entries.get(registration.id);
    if (entry && isOlder(registration, entry)) return;
    const isSameIncarnation = entry?.target.bornAtMs === registration.bornAtMs;
    const isStillLeaving = isSameIncarnation && entry?.state === "leaving";
    const isLeaving = registration.isLeaving || isStillLeaving;
    this.#missingSinceMs.delete(registration.id);
    this.#setEntry(registration, isLeaving ? "leaving" : "serving");
  }

  #setEntry(registration: TargetRegistration, state: RegistryState): void {
    this.#entries.set(registration.id, {
      target: {
        ...registration,
        incarnation: `${registration.id}@${registration.bornAtMs}`,
      },
      state,
      lapsedUntilMs: 0,
    });
  }

  #markMissing(
    id: string,
    entry: RegistryEntry,
    nowMs: number,
    isAfterOutage: boolean,
  ): void {
    if (!this.#missingSinceMs.has(id)) this.#missingSinceMs.set(id, nowMs);
    if (entry.state === "gone" || entry.state === "leaving") return;
    if (entry.state === "lapsed") {
      if (nowMs >= entry.lapsedUntilMs) entry.state = "gone";
      return;
    }
    entry.state = isAfterOutage ? "lapsed" : "gone";
    entry.lapsedUntilMs = nowMs + LAPSED_GRACE_MS;
  }

  #removeExpired(nowMs: number): void {
    for (const [id, sinceMs] of this.#missingSinceMs) {
      if (nowMs - sinceMs < MISSING_ENTRY_TTL_MS) continue;
      this.#missingSinceMs.delete(id);
      this.#entries.delete(id);
    }
  }
}

function isEligible(entry: RegistryEntry, nowMs: number): boolean {
  if (entry.state === "serving") return true;
  return entry.state === "lapsed" && nowMs < entry.lapsedUntilMs;
}

/** Whether a registration is older than the one in the registry. */
function isOlder(registration: TargetRegistration, entry: RegistryEntry) {
  const { target, state } = entry;
  if (registration.bornAtMs !== target.bornAtMs) {
    return registration.bornAtMs < target.bornAtMs;
  }
  // A registration that was in flight while its target left must not make the
  // target serve again; a live target registers with higher sequence numbers.
  if (state === "gone") return registration.sequence <= target.sequence;
  return registration.sequence < target.sequence;
}
