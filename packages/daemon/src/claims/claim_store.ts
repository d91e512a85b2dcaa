import {
  type ClaimEvent,
  type ClaimRecord,
  type ClaimTransaction,
  type ClaimWrite,
  type FoundClaim,
  parseClaimRecord,
  parseRecordedResponse,
} from "@coltsfootford/core";
import {
  type Compare,
  isCertainlyNotApplied,
  type KeyValueClient,
  type KeyValueEntry,
  type TxnOperation,
  type TxnResponse,
} from "@coltsfootford/key-value";
import type { ClaimLeases } from "./claim_leases.ts";

/** The result of a claim transaction, to which the controller adds the time. */
export type ClaimStoreEvent = ClaimEvent extends infer Event
  ? Event extends { readonly kind: "committed" | "conflicted" | "failed" }
    ? Omit<Event, "nowMs">
  : never
  : never;

/** Writes each transaction of the claim state machine in one platform call. */
export class ClaimStore {
  readonly #keyValue: KeyValueClient;
  readonly #leases: ClaimLeases;

  constructor(keyValue: KeyValueClient, leases: ClaimLeases) {
    this.#keyValue = keyValue;
    this.#leases = leases;
  }

  async write(transaction: ClaimTransaction): Promise<ClaimStoreEvent> {
    const { transactionId, writes } = transaction;
    let leaseId: string | undefined;
    if (writes.some(needsLease)) {
      const lease = await this.#leases.current();
      if (lease.isErr()) {
        return { kind: "failed", transactionId, maybeApplied: false };
      }
      leaseId = lease.value;
    }
    const response = await this.#keyValue.txn({
      compares: writes.map(createCompare),
      success: writes.flatMap((write) => createPuts(write, leaseId)),
      failure: writes.map(createRange),
    });
    if (response.isErr()) {
      const maybeApplied = !isCertainlyNotApplied(response.error);
      return { kind: "failed", transactionId, maybeApplied };
    }
    const { succeeded, revision } = response.value;
    if (succeeded) return { kind: "committed", transactionId, revision };
    const found = readFoundClaims(writes, response.value);
    return { kind: "conflicted", transactionId, found };
  }
}

function needsLease(write: ClaimWrite): boolean {
  return write.location.leased || write.response !== undefined;
}

function createCompare(write: ClaimWrite): Compare {
  const { location, expectation } = write;
  const key = location.claimKey;
  if (expectation.kind === "absent") {
    return { target: "create", key, comparison: "equal", operand: 0 };
  }
  const operand = expectation.modRevision;
  return { target: "mod", key, comparison: "equal", operand };
}

function createPuts(
  write: ClaimWrite,
  leaseId: string | undefined,
): TxnOperation[] {
  const { location, record, response } = write;
  const puts: TxnOperation[] = [{
    kind: "put",
    key: location.claimKey,
    value: JSON.stringify(record),
    leaseId: location.leased ? leaseId : undefined,
  }];
  if (response) {
    const value = JSON.stringify(response);
    puts.push({ kind: "put", key: location.responseKey, value, leaseId });
  }
  return puts;
}

/** Reads a claim and its recorded response, which share a prefix, as one range. */
function createRange(write: ClaimWrite): TxnOperation {
  const { claimKey } = write.location;
  const prefix = claimKey.slice(0, claimKey.lastIndexOf("/") + 1);
  return { kind: "range", selection: { prefix } };
}

function readFoundClaims(
  writes: readonly ClaimWrite[],
  response: TxnResponse,
): FoundClaim[] {
  return writes.flatMap((write, index) => {
    const entries = response.operations[index]?.entries ?? [];
    return readClaim(write, entries) ?? [];
  });
}

function readClaim(
  write: ClaimWrite,
  entries: readonly KeyValueEntry[],
): FoundClaim | undefined {
  const { claimKey, responseKey } = write.location;
  const claim = entries.find((entry) => entry.key === claimKey);
  if (!claim) return undefined;
  const responseEntry = entries.find((entry) => entry.key === responseKey);
  // An unreadable record still claims the key, so no call with it may execute.
  const unreadable: ClaimRecord = {
    state: "unknown",
    nonce: "",
    bodyDigest: write.record.bodyDigest,
    claimedAtMs: 0,
  };
  const record = parseClaimRecord(claim.value).unwrapOr(unreadable);
  return {
    claimKey,
    modRevision: claim.modRevision,
    record,
    response: responseEntry &&
      parseRecordedResponse(responseEntry.value).unwrapOr(undefined),
  };
}
