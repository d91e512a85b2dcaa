import {
  CLAIM_LEASE_TTL_MS,
  CLAIM_LEASE_USE_MS,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient, KeyValueError } from "@coltsfootford/key-value";
import { ok, type Result } from "neverthrow";

/** A lease and the time of its request, on this daemon's monotonic clock. */
interface GrantedLease {
  readonly leaseId: string;
  readonly requestedAtMs: number;
}

/**
 * Provides the leases on whose expiry the claims of dated keys are deleted. All
 * claims of an hour share one lease, which is never renewed, so leases cost one
 * call an hour.
 */
export class ClaimLeases {
  readonly #keyValue: KeyValueClient;
  readonly #timer: TimerService;
  #currentLease: GrantedLease | undefined;
  #pendingGrant: Promise<Result<GrantedLease, KeyValueError>> | undefined;

  constructor(keyValue: KeyValueClient, timer: TimerService) {
    this.#keyValue = keyValue;
    this.#timer = timer;
  }

  /** The id of a lease with enough remaining time for a new claim. */
  async current(): Promise<Result<string, KeyValueError>> {
    const current = this.#currentLease;
    if (current && this.#isUsable(current)) return ok(current.leaseId);
    this.#pendingGrant ??= this.#requestLease();
    const granted = await this.#pendingGrant;
    return granted.map((lease) => lease.leaseId);
  }

  #isUsable(lease: GrantedLease): boolean {
    return this.#timer.nowMs() - lease.requestedAtMs < CLAIM_LEASE_USE_MS;
  }

  async #requestLease(): Promise<Result<GrantedLease, KeyValueError>> {
    // The age is measured from before the call. The platform starts its timer
    // later, so the lease never expires earlier than this daemon expects.
    const requestedAtMs = this.#timer.nowMs();
    const response = await this.#keyValue.grantLease(CLAIM_LEASE_TTL_MS);
    this.#pendingGrant = undefined;
    const granted = response.map((lease) => ({
      leaseId: lease.leaseId,
      requestedAtMs,
    }));
    if (granted.isOk()) this.#currentLease = granted.value;
    return granted;
  }
}
