import {
  CLAIM_LEASE_TTL_MS,
  CLAIM_LEASE_USE_MS,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient, KeyValueError } from "@coltsfootford/key-value";
import { ok, type Result } from "neverthrow";

/** A lease with the time at which it was asked for. */
interface HeldLease {
  readonly leaseId: string;
  readonly askedAtMs: number;
}

/**
 * Grants the leases that claims of dated keys lapse with. One lease takes the
 * claims of an hour and is never renewed, so it costs one call an hour.
 */
export class ClaimLeases {
  readonly #keyValue: KeyValueClient;
  readonly #timer: TimerService;
  #held: HeldLease | undefined;
  #asking: Promise<Result<HeldLease, KeyValueError>> | undefined;

  constructor(keyValue: KeyValueClient, timer: TimerService) {
    this.#keyValue = keyValue;
    this.#timer = timer;
  }

  /** The id of a lease with enough time left for a new claim. */
  async current(): Promise<Result<string, KeyValueError>> {
    const held = this.#held;
    if (held && this.#isUsable(held)) return ok(held.leaseId);
    this.#asking ??= this.#ask();
    const answer = await this.#asking;
    return answer.map((lease) => lease.leaseId);
  }

  #isUsable(lease: HeldLease): boolean {
    return this.#timer.nowMs() - lease.askedAtMs < CLAIM_LEASE_USE_MS;
  }

  async #ask(): Promise<Result<HeldLease, KeyValueError>> {
    // The age counts from before the call: the platform's own count begins
    // later, so the lease lapses later than this daemon reckons.
    const askedAtMs = this.#timer.nowMs();
    const answer = await this.#keyValue.grantLease(CLAIM_LEASE_TTL_MS);
    this.#asking = undefined;
    const held = answer.map((lease) => ({ leaseId: lease.leaseId, askedAtMs }));
    if (held.isOk()) this.#held = held.value;
    return held;
  }
}
