import { z } from "zod";

/**
 * The messages of the etcd v3 JSON gateway that the stand-in supports. Keys
 * and values are base64 strings, 64-bit integers are decimal strings.
 */

const bytesSchema = z.string().default("").transform((text) =>
  Buffer.from(text, "base64")
);
const int64Schema = z.union([z.string().regex(/^-?\d+$/), z.int()])
  .transform(String);
const countSchema = int64Schema.transform(Number);

export const rangeSchema = z.object({
  key: bytesSchema,
  range_end: bytesSchema,
  limit: countSchema.default(0),
  keys_only: z.boolean().default(false),
  count_only: z.boolean().default(false),
});

export const putSchema = z.object({
  key: bytesSchema,
  value: bytesSchema,
  lease: int64Schema.default("0"),
  prev_kv: z.boolean().default(false),
});

export const deleteRangeSchema = z.object({
  key: bytesSchema,
  range_end: bytesSchema,
  prev_kv: z.boolean().default(false),
});

const operationSchema = z.object({
  request_range: rangeSchema.optional(),
  request_put: putSchema.optional(),
  request_delete_range: deleteRangeSchema.optional(),
});

const compareSchema = z.object({
  key: bytesSchema,
  result: z.enum(["EQUAL", "GREATER", "LESS", "NOT_EQUAL"]).default("EQUAL"),
  target: z.enum(["VERSION", "CREATE", "MOD", "VALUE", "LEASE"]).default(
    "VERSION",
  ),
  version: int64Schema.default("0"),
  create_revision: int64Schema.default("0"),
  mod_revision: int64Schema.default("0"),
  lease: int64Schema.default("0"),
  value: bytesSchema,
});

export const transactionSchema = z.object({
  compare: z.array(compareSchema).default([]),
  success: z.array(operationSchema).default([]),
  failure: z.array(operationSchema).default([]),
});

export const leaseGrantSchema = z.object({
  TTL: countSchema,
  ID: int64Schema.default("0"),
});

export const leaseIdSchema = z.object({
  ID: int64Schema,
  keys: z.boolean().default(false),
});

export const watchSchema = z.object({
  create_request: z.object({
    key: bytesSchema,
    range_end: bytesSchema,
    start_revision: countSchema.default(0),
    prev_kv: z.boolean().default(false),
  }),
});

export type RangeRequest = z.infer<typeof rangeSchema>;
export type PutRequest = z.infer<typeof putSchema>;
export type DeleteRangeRequest = z.infer<typeof deleteRangeSchema>;
export type Operation = z.infer<typeof operationSchema>;
export type Compare = z.infer<typeof compareSchema>;
export type TransactionRequest = z.infer<typeof transactionSchema>;
export type WatchRequest = z.infer<typeof watchSchema>["create_request"];

/** Renames fields from lower camel case, which the gateway also accepts. */
export function toSnakeCaseFields(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toSnakeCaseFields);
  if (value === null || typeof value !== "object") return value;
  return Object.fromEntries(
    Object.entries(value).map(([field, inner]) => {
      const name = /^[a-z]/.test(field)
        ? field.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)
        : field;
      return [name, toSnakeCaseFields(inner)];
    }),
  );
}

/**
 * Whether a validated write may change a key with this prefix. The deletes of a
 * transaction are not considered.
 */
export function writesKeyUnder(request: unknown, prefix: string): boolean {
  const { key, success = [], failure = [] } = request as
    & Partial<PutRequest>
    & Partial<TransactionRequest>;
  const keys = [...success, ...failure].map((operation) =>
    operation.request_put?.key
  );
  return [key, ...keys].some((writtenKey) =>
    writtenKey?.toString("utf8").startsWith(prefix)
  );
}
