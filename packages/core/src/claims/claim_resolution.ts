import type { ClaimEntry } from "./claim_entry.ts";
import type { ClaimResult, FoundClaim } from "./claim_events.ts";

/**
 * How an entry proceeds after a conflict of its transaction, given the record
 * that the platform stores.
 */
export type ClaimResolution =
  /** An earlier attempt already wrote the record of this entry. */
  | { readonly kind: "in-place"; readonly modRevision: number }
  /** The write of this entry must be retried. */
  | { readonly kind: "retry"; readonly expectation: ClaimEntry["expectation"] }
  /** The key belongs to another call. */
  | { readonly kind: "taken"; readonly result: ClaimResult }
  /** The claim of a finished call was deleted or changed by another writer. */
  | { readonly kind: "lost" };

/** Resolves an entry by the record found under its key, if there is one. */
export function resolveClaim(
  entry: ClaimEntry,
  found: FoundClaim | undefined,
): ClaimResolution {
  if (!found) return resolveAbsent(entry);
  if (found.record.nonce === entry.record.nonce) {
    return resolveOwn(entry, found);
  }
  if (entry.phase === "closing") return { kind: "lost" };
  return resolveOther(entry, found);
}

function resolveAbsent(entry: ClaimEntry): ClaimResolution {
  const isUnconfirmed = entry.phase === "claiming" ||
    entry.expectation.kind === "absent";
  if (!isUnconfirmed) return { kind: "lost" };
  return { kind: "retry", expectation: { kind: "absent" } };
}

function resolveOwn(entry: ClaimEntry, found: FoundClaim): ClaimResolution {
  if (found.record.state === entry.record.state) {
    return { kind: "in-place", modRevision: found.modRevision };
  }
  if (found.record.state !== "claimed") return { kind: "lost" };
  return {
    kind: "retry",
    expectation: { kind: "revision", modRevision: found.modRevision },
  };
}

function resolveOther(entry: ClaimEntry, found: FoundClaim): ClaimResolution {
  const { record, modRevision, response } = found;
  if (record.bodyDigest !== entry.record.bodyDigest) {
    return { kind: "taken", result: { kind: "key-reused" } };
  }
  if (record.state === "not-run") {
    // A released key may be claimed again; compare-and-swap admits one claimer.
    return { kind: "retry", expectation: { kind: "revision", modRevision } };
  }
  if (record.state === "unknown") {
    return { kind: "taken", result: { kind: "unknown" } };
  }
  if (record.state === "claimed") {
    return { kind: "taken", result: { kind: "in-progress" } };
  }
  const result: ClaimResult = response
    ? { kind: "replay", response }
    : { kind: "done", summary: record.answer };
  return { kind: "taken", result };
}
