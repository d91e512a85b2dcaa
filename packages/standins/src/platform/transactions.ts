import type { KeyValueStore, StoredValue } from "./key_value_store.ts";
import type {
  Compare,
  DeleteRangeRequest,
  Operation,
  PutRequest,
  RangeRequest,
  TransactionRequest,
} from "./messages.ts";

/** A JSON object in the format of the gateway. */
export type GatewayObject = Record<string, unknown>;

/** Creates the header that every response of the gateway has. */
export function createHeader(revision: number): GatewayObject {
  return {
    cluster_id: "1",
    member_id: "1",
    revision: String(revision),
    raft_term: "1",
  };
}

/** Converts a stored value to the JSON format of the gateway. */
export function describeValue(
  stored: StoredValue,
  isKeyOnly = false,
): GatewayObject {
  return {
    key: stored.key.toString("base64"),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    version: String(stored.version),
    ...(isKeyOnly ? {} : { value: stored.value.toString("base64") }),
    ...(stored.leaseId === "0" ? {} : { lease: stored.leaseId }),
  };
}

export function executeRange(
  store: KeyValueStore,
  request: RangeRequest,
): GatewayObject {
  const all = store.range({ key: request.key, rangeEnd: request.range_end });
  const limit = request.limit > 0 ? request.limit : all.length;
  const kvs = request.count_only ? [] : all.slice(0, limit);
  return {
    header: createHeader(store.revision),
    kvs: kvs.map((value) => describeValue(value, request.keys_only)),
    more: !request.count_only && all.length > limit,
    count: String(all.length),
  };
}

export function executePut(
  store: KeyValueStore,
  request: PutRequest,
): GatewayObject {
  const previous = store.put(request.key, request.value, request.lease);
  if (!request.prev_kv || !previous) return {};
  return { prev_kv: describeValue(previous) };
}

export function executeDeleteRange(
  store: KeyValueStore,
  request: DeleteRangeRequest,
): GatewayObject {
  const range = { key: request.key, rangeEnd: request.range_end };
  const deleted = store.deleteRange(range);
  return {
    deleted: String(deleted.length),
    ...(request.prev_kv
      ? { prev_kvs: deleted.map((value) => describeValue(value)) }
      : {}),
  };
}

export function executeTransaction(
  store: KeyValueStore,
  request: TransactionRequest,
): GatewayObject {
  const succeeded = request.compare.every((compare) =>
    isSatisfied(store, compare)
  );
  const operations = succeeded ? request.success : request.failure;
  const responses = store.transact(() =>
    operations.map((operation) => executeOperation(store, operation))
  );
  return { header: createHeader(store.revision), succeeded, responses };
}

/** Whether a transaction is a write: one of its branches can change a key. */
export function isWriteTransaction(request: TransactionRequest): boolean {
  return [...request.success, ...request.failure].some((operation) =>
    operation.request_put !== undefined ||
    operation.request_delete_range !== undefined
  );
}

function executeOperation(
  store: KeyValueStore,
  operation: Operation,
): GatewayObject {
  if (operation.request_put) {
    return { response_put: executePut(store, operation.request_put) };
  }
  if (operation.request_delete_range) {
    const request = operation.request_delete_range;
    return { response_delete_range: executeDeleteRange(store, request) };
  }
  if (operation.request_range) {
    return { response_range: executeRange(store, operation.request_range) };
  }
  return {};
}

function isSatisfied(store: KeyValueStore, compare: Compare): boolean {
  const difference = compareTo(store.get(compare.key), compare);
  if (compare.result === "EQUAL") return difference === 0;
  if (compare.result === "NOT_EQUAL") return difference !== 0;
  return compare.result === "GREATER" ? difference > 0 : difference < 0;
}

/**
 * Returns the stored side minus the compared side, like a sort function. All
 * numbers of a missing key are zero; a comparison with its value is never
 * satisfied.
 */
function compareTo(stored: StoredValue | undefined, compare: Compare): number {
  if (compare.target === "VALUE") {
    if (!stored) return compare.result === "NOT_EQUAL" ? 0 : NaN;
    return Buffer.compare(stored.value, compare.value);
  }
  if (compare.target === "VERSION") {
    return (stored?.version ?? 0) - Number(compare.version);
  }
  if (compare.target === "CREATE") {
    return (stored?.createRevision ?? 0) - Number(compare.create_revision);
  }
  if (compare.target === "MOD") {
    return (stored?.modRevision ?? 0) - Number(compare.mod_revision);
  }
  return Number(stored?.leaseId ?? "0") - Number(compare.lease);
}
