/** What a target says of itself in its registration. */
export interface TargetRegistration {
  readonly id: string;
  /** When this incarnation started, in ms since 1970; 0 where not told. */
  readonly bornAtMs: number;
  /** Grows with each registration of one incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How much longer the target stays slow after its start. */
  readonly coldLeftMs: number;
}

/** A target that may be sent work, as this daemon knows it. */
export interface RegisteredTarget extends TargetRegistration {
  /** Names one incarnation: the id and the start of the target. */
  readonly incarnation: string;
}

/**
 * `serving` targets get work. `lapsed` ones lost their registration while the
 * store was in trouble; they get work until it should be back. `leaving` and
 * `gone` ones get none, and that is final for an incarnation but for a newer
 * registration of a `gone` one.
 */
type RegistryState = "serving" | "lapsed" | "leaving" | "gone";

interface RegistryEntry {
  readonly target: RegisteredTarget;
  state: RegistryState;
  lapsedUntilMs: number;
}

/**
 * How long a registration that lapsed in a store's trouble may stay away after
 * the store is back: targets register again within two seconds, by the
 * platform's protocol, and a store's answer may take half a second more.
 */
export const LAPSED_GRACE_MS = 2_500;

/** Entries of targets that are gone are forgotten after this time. */
const FORGET_AFTER_MS = 120_000;

/**
 * Who may be sent work. A target that was seen leaving never serves again in
 * the same incarnation, whatever old registration turns up.
 */
export class TargetRegistry {
  readonly #entries = new Map<string, RegistryEntry>();
  readonly #goneSinceMs = new Map<string, number>();

  /**
   * Takes in all registrations that there are now. `isAfterTrouble` says that
   * the store was in trouble shortly before, so that a missing registration
   * does not tell that its target leaves.
   */
  update(
    registrations: readonly TargetRegistration[],
    nowMs: number,
    isAfterTrouble: boolean,
  ): void {
    const present = new Set<string>();
    for (const registration of registrations) {
      present.add(registration.id);
      this.#takeIn(registration);
    }
    for (const [id, entry] of this.#entries) {
      if (!present.has(id)) this.#noteMissing(id, entry, nowMs, isAfterTrouble);
    }
    this.#forgetOld(nowMs);
  }

  /** The targets that may be sent work now. */
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

  #takeIn(registration: TargetRegistration): void {
    const known = this.#entries.get(registration.id);
    if (known && isOlder(registration, known)) return;
    const isSameIncarnation = known?.target.bornAtMs === registration.bornAtMs;
    const staysLeaving = isSameIncarnation && known?.state === "leaving";
    const isLeaving = registration.isLeaving || staysLeaving;
    this.#goneSinceMs.delete(registration.id);
    this.#entries.set(registration.id, {
      target: {
        ...registration,
        incarnation: `${registration.id}@${registration.bornAtMs}`,
      },
      state: isLeaving ? "leaving" : "serving",
      lapsedUntilMs: 0,
    });
  }

  #noteMissing(
    id: string,
    entry: RegistryEntry,
    nowMs: number,
    isAfterTrouble: boolean,
  ): void {
    if (!this.#goneSinceMs.has(id)) this.#goneSinceMs.set(id, nowMs);
    if (entry.state === "gone" || entry.state === "leaving") return;
    if (entry.state === "lapsed") {
      if (nowMs >= entry.lapsedUntilMs) entry.state = "gone";
      return;
    }
    entry.state = isAfterTrouble ? "lapsed" : "gone";
    entry.lapsedUntilMs = nowMs + LAPSED_GRACE_MS;
  }

  #forgetOld(nowMs: number): void {
    for (const [id, sinceMs] of this.#goneSinceMs) {
      if (nowMs - sinceMs < FORGET_AFTER_MS) continue;
      this.#goneSinceMs.delete(id);
      this.#entries.delete(id);
    }
  }
}

function isEligible(entry: RegistryEntry, nowMs: number): boolean {
  if (entry.state === "serving") return true;
  return entry.state === "lapsed" && nowMs < entry.lapsedUntilMs;
}

/** Tells whether a registration was written before the one that is known. */
function isOlder(registration: TargetRegistration, known: RegistryEntry) {
  const { target, state } = known;
  if (registration.bornAtMs !== target.bornAtMs) {
    return registration.bornAtMs < target.bornAtMs;
  }
  // A registration that was on its way while its target left must not bring
  // the target back; one that lives goes on to register with higher numbers.
  if (state === "gone") return registration.sequence <= target.sequence;
  return registration.sequence < target.sequence;
}
