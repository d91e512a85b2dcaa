import type { Candidate } from "./choose_target.ts";

/** Targets of a zone that have to fail before the zone counts as unreachable. */
const MIN_FAILED_TARGETS = 2;
/** Time until the next attempt at a zone; doubled for each failed target. */
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 2_000;

/** What the targets of one availability zone have in common. */
interface ZoneContact {
  failedTargets: number;
  failedAtMs: number;
  heardAtMs: number;
  triedAtMs: number;
}

/**
 * The availability zones that take no more requests while others do: several of
 * their targets could not be reached, or fell silent, and none has sent a byte
 * since. Targets of all services count, since a zone that is cut off is so for
 * all of them. After a pause one request at a time finds out whether it is back.
 */
export function findUnreachableZones(
  candidates: Iterable<Candidate>,
  nowMs: number,
): ReadonlySet<string> {
  const unreachable = new Set<string>();
  for (const [zone, contact] of collectContacts(candidates)) {
    const { failedTargets, failedAtMs, heardAtMs, triedAtMs } = contact;
    if (failedTargets < MIN_FAILED_TARGETS || heardAtMs > failedAtMs) continue;
    const pauseMs = Math.min(
      MAX_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** (failedTargets - MIN_FAILED_TARGETS),
    );
    const isPaused = nowMs < failedAtMs + pauseMs;
    if (isPaused || triedAtMs > failedAtMs) unreachable.add(zone);
  }
  return unreachable;
}

function collectContacts(
  candidates: Iterable<Candidate>,
): ReadonlyMap<string, ZoneContact> {
  const contacts = new Map<string, ZoneContact>();
  for (const { target: { availabilityZone }, record } of candidates) {
    const contact = contacts.get(availabilityZone) ?? {
      failedTargets: 0,
      failedAtMs: -Infinity,
      heardAtMs: -Infinity,
      triedAtMs: -Infinity,
    };
    contacts.set(availabilityZone, contact);
    const { unreachableAtMs, heardAtMs } = record;
    if (unreachableAtMs > heardAtMs) contact.failedTargets += 1;
    contact.failedAtMs = Math.max(contact.failedAtMs, unreachableAtMs);
    contact.heardAtMs = Math.max(contact.heardAtMs, heardAtMs);
    for (const { hasResponse, startedAtMs } of record.attempts) {
      if (hasResponse) continue;
      contact.triedAtMs = Math.max(contact.triedAtMs, startedAtMs);
    }
  }
  return contacts;
}
