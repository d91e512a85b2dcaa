import { err, ok, type Result } from "neverthrow";
import { createStepError, type StepError } from "../errors/index.ts";

/**
 * Expiry of idempotency keys. A dated key (UUID version 7 or ULID) contains the
 * time at which the client created the key, so its claim can expire. A dated
 * key is accepted while the key is younger than `DATED_KEY_WINDOW_MS` and
 * rejected afterwards. The claim outlives that window on every clock. A key
 * without a date has no age, so its claim is stored without a lease until an
 * operator deletes the claim.
 */

/** How long after its own timestamp a dated key is accepted. */
export const DATED_KEY_WINDOW_MS = 24 * 3_600_000;
/** Maximum error of a VM's wall clock that the expiry rule tolerates. */
export const CLOCK_ERROR_MS = 5 * 60_000;
/** How long new claims share one lease before another lease is granted. */
export const CLAIM_LEASE_USE_MS = 3_600_000;
/**
 * Time to live of a lease that claims are attached to. A claim is written no
 * earlier than `CLOCK_ERROR_MS` before the date of its key and no later than
 * `CLAIM_LEASE_USE_MS` after the lease was granted. The claim must last until
 * the slowest clock has passed the end of the window.
 */
export const CLAIM_LEASE_TTL_MS = DATED_KEY_WINDOW_MS + CLAIM_LEASE_USE_MS +
  4 * CLOCK_ERROR_MS;
/** Maximum length of an idempotency key. */
export const MAX_IDEMPOTENCY_KEY_CHARS = 255;

const CLAIM_PREFIX = "coltsfoot/claims";
const MS_PER_DAY = 86_400_000;
const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const ULID = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i;
const ULID_DIGITS = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";
const ULID_TIME_CHARS = 10;

/**
 * Why an idempotency key is rejected before a claim is made or the call is
 * sent.
 */
export type KeyRejection =
  | "key-malformed"
  | "key-too-old"
  | "key-from-future";

/** Where the claim of a key is stored, and whether the claim expires. */
export interface ClaimLocation {
  /** Platform key of the claim. */
  readonly claimKey: string;
  /** Platform key of the recorded response; sorts directly before the claim. */
  readonly responseKey: string;
  /** Whether the claim expires with a lease. */
  readonly leased: boolean;
}

/**
 * Wall clock time in ms that is encoded in a key, or undefined for a key
 * without a date.
 */
export function readKeyDateMs(idempotencyKey: string): number | undefined {
  const uuid = UUID_V7.exec(idempotencyKey);
  if (uuid) return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16);
  if (!ULID.test(idempotencyKey)) return undefined;
  let dateMs = 0;
  for (const char of idempotencyKey.slice(0, ULID_TIME_CHARS).toUpperCase()) {
    dateMs = dateMs * ULID_DIGITS.length + ULID_DIGITS.indexOf(char);
  }
  return dateMs;
}

/**
 * Computes where the claim of a key is stored. `digestHex` is the SHA-256 of
 * team, route and key, so equal keys of different teams or routes do not
 * collide.
 */
export function findClaimLocation(
  idempotencyKey: string,
  digestHex: string,
  wallClockMs: number,
): Result<ClaimLocation, StepError<KeyRejection>> {
  if (
    idempotencyKey.length === 0 ||
    idempotencyKey.length > MAX_IDEMPOTENCY_KEY_CHARS
  ) {
    return reject("key-malformed", "use a key of 1 to 255 characters");
  }
  const dateMs = readKeyDateMs(idempotencyKey);
  if (dateMs === undefined) return ok(toLocation("undated", digestHex, false));
  const ageMs = wallClockMs - dateMs;
  if (ageMs > DATED_KEY_WINDOW_MS) {
    return reject(
      "key-too-old",
      "the key is older than 24 hours, so what became of an earlier call " +
        "with it is no longer kept; ask the service before using a new key",
    );
  }
  if (ageMs < -CLOCK_ERROR_MS) {
    return reject(
      "key-from-future",
      "the key carries a date that lies ahead; set the caller's clock",
    );
  }
  const day = Math.floor(dateMs / MS_PER_DAY);
  return ok(toLocation(String(day), digestHex, true));
}

function toLocation(
  shard: string,
  digestHex: string,
  leased: boolean,
): ClaimLocation {
  const base = `${CLAIM_PREFIX}/${shard}/${digestHex}`;
  return { claimKey: `${base}/claim`, responseKey: `${base}/answer`, leased };
}

function reject(
  kind: KeyRejection,
  message: string,
): Result<ClaimLocation, StepError<KeyRejection>> {
  return err(
    createStepError(kind, "claim.key", `field Idempotency-Key: ${message}`),
  );
}
