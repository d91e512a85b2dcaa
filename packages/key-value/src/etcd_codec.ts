import { z } from "zod";
import type {
  Compare,
  KeySelection,
  KeyValueEntry,
  RangeResponse,
  TxnOperation,
  TxnRequest,
  TxnResponse,
  WatchEvent,
} from "./key_value_types.ts";

/**
 * Encodes and decodes the JSON gateway of etcd v3: keys and values in base64,
 * 64-bit integers as decimal strings, default values omitted from responses.
 */

const int64Schema = z.union([z.string().regex(/^-?\d+$/), z.number()])
  .default("0").transform(Number);
const leaseIdSchema = z.union([z.string(), z.number()]).default("0")
  .transform(String);
const base64TextSchema = z.string().default("").transform(decodeBase64);
const headerSchema = z.object({ revision: int64Schema });

const entrySchema = z.object({
  key: base64TextSchema,
  value: base64TextSchema,
  create_revision: int64Schema,
  mod_revision: int64Schema,
  version: int64Schema,
  lease: leaseIdSchema,
}).transform((raw): KeyValueEntry => ({
  key: raw.key,
  value: raw.value,
  createRevision: raw.create_revision,
  modRevision: raw.mod_revision,
  version: raw.version,
  leaseId: raw.lease,
}));

const rangeFieldsSchema = z.object({
  kvs: z.array(entrySchema).default([]),
  more: z.boolean().default(false),
});

/** A page of entries; its revision is that of the header. */
interface RangePage extends Omit<RangeResponse, "revision"> {
  readonly revision: number;
}

/** The response of `/v3/kv/range`. */
export const rangeResponseSchema = rangeFieldsSchema.extend({
  header: headerSchema,
}).transform((raw): RangePage => ({
  entries: raw.kvs,
  hasMore: raw.more,
  revision: raw.header.revision,
}));

const operationResponseSchema = z.object({
  response_range: rangeFieldsSchema.optional(),
});

/** The response of `/v3/kv/txn`. */
export const txnResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z.array(operationResponseSchema).default([]),
}).transform((raw): TxnResponse => ({
  succeeded: raw.succeeded,
  revision: raw.header.revision,
  operations: raw.responses.map((response) => ({
    entries: response.response_range?.kvs ?? [],
  })),
}));

/** The response of `/v3/lease/grant`; `TTL` is in seconds. */
export const leaseResponseSchema = z.object({
  ID: leaseIdSchema,
  TTL: int64Schema,
}).transform((raw) => ({ leaseId: raw.ID, ttlMs: raw.TTL * 1_000 }));

/** One line of the response stream of `/v3/lease/keepalive`. */
export const keepAliveResponseSchema = z.object({ result: leaseResponseSchema })
  .transform((raw) => raw.result);

/** A response whose fields are not used. */
export const emptyResponseSchema = z.object({});

const watchEventSchema = z.object({
  type: z.enum(["PUT", "DELETE"]).default("PUT"),
  kv: entrySchema,
}).transform((raw): WatchEvent => {
  if (raw.type === "PUT") return { kind: "put", entry: raw.kv };
  return {
    kind: "delete",
    key: raw.kv.key,
    modRevision: raw.kv.modRevision,
  };
});

/** One line of the response stream of `/v3/watch`. */
export const watchResponseSchema = z.object({
  result: z.object({
    header: headerSchema.default({ revision: 0 }),
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: int64Schema,
    events: z.array(watchEventSchema).default([]),
  }),
});

/** Encodes the key or key range of an operation. */
export function encodeSelection(selection: KeySelection): object {
  if ("key" in selection) return { key: encodeBase64(selection.key) };
  const { prefix, fromKey, limitEntries } = selection;
  return {
    key: encodeBase64(fromKey ?? prefix),
    range_end: encodeRangeEnd(prefix),
    ...(limitEntries ? { limit: String(limitEntries) } : {}),
  };
}

/** Encodes a transaction. */
export function encodeTxn(request: TxnRequest): object {
  return {
    compare: request.compares.map(encodeCompare),
    success: request.success.map(encodeOperation),
    failure: request.failure.map(encodeOperation),
  };
}

function encodeOperation(operation: TxnOperation): object {
  if (operation.kind === "range") {
    return { request_range: encodeSelection(operation.selection) };
  }
  if (operation.kind === "delete") {
    return { request_delete_range: encodeSelection(operation.selection) };
  }
  const { key, value, leaseId } = operation;
  return {
    request_put: {
      key: encodeBase64(key),
      value: encodeBase64(value),
      ...(leaseId ? { lease: leaseId } : {}),
    },
  };
}

const COMPARE_FIELDS = {
  mod: { target: "MOD", field: "mod_revision" },
  version: { target: "VERSION", field: "version" },
  create: { target: "CREATE", field: "create_revision" },
  value: { target: "VALUE", field: "value" },
} as const;

function encodeCompare(compare: Compare): object {
  const { target, field } = COMPARE_FIELDS[compare.target];
  const operand = compare.target === "value"
    ? encodeBase64(compare.operand)
    : String(compare.operand);
  return {
    target,
    key: encodeBase64(compare.key),
    result: compare.comparison.toUpperCase(),
    [field]: operand,
  };
}

/** Returns the range end of a prefix: the first key after all its keys. */
function encodeRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  let last = bytes.length - 1;
  while (last >= 0 && bytes[last] === 0xff) last -= 1;
  if (last < 0) return Buffer.from([0]).toString("base64");
  const end = Buffer.from(bytes.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end.toString("base64");
}

function encodeBase64(text: string): string {
  return Buffer.from(text).toString("base64");
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString();
}
