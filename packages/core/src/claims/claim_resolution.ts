import type { ClaimEntry } from "./claim_entry.ts";
import type { ClaimResult, FoundClaim } from "./claim_events.ts";

/**
 * What the record that the platform holds means for an entry whose transaction
 * did not take effect as a whole.
 */
export type ClaimResolution =
  /** The write of this entry is in place, from an earlier try. */
  | { readonly kind: "in-place"; readonly modRevision: number }
  /** The write of this entry is to be tried again. */
  | { readonly kind: "retry"; readonly expectation: ClaimEntry["expectation"] }
  /** The key belongs to another call. */
  | { readonly kind: "taken"; readonly verdict: ClaimResult }
  /** The claim of a finished call is gone or was changed by another. */
  | { readonly kind: "lost" };

/** Judges an entry by the record found under its key, if there is one. */
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
  const neverOwned = entry.phase === "claiming" ||
    entry.expectation.kind === "absent";
  if (!neverOwned) return { kind: "lost" };
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
  const { record, modRevision, answer } = found;
  if (record.bodyDigest !== entry.record.bodyDigest) {
    return { kind: "taken", verdict: { kind: "key-reused" } };
  }
  if (record.state === "not-run") {
    // A released key may be claimed again; the swap lets one claimer through.
    return { kind: "retry", expectation: { kind: "revision", modRevision } };
  }
  if (record.state === "unknown") {
    return { kind: "taken", verdict: { kind: "unknown" } };
  }
  if (record.state === "claimed") {
    return { kind: "taken", verdict: { kind: "in-progress" } };
  }
  const verdict: ClaimResult = answer
    ? { kind: "replay", answer }
    : { kind: "done", summary: record.answer };
  return { kind: "taken", verdict };
}
