import {
  CONFIG_HEAD_KEY,
  type ObjectChange,
  type Publication,
  type PublicationMetadata,
  publicationRecordKey,
} from "@coltsfootford/core";
import type {
  Compare,
  TxnOperation,
  TxnRequest,
} from "@coltsfootford/key-value";
import {
  createPublicationRecord,
  MAX_STORED_RECORDS,
} from "./publication_records.ts";
import type { PublishedSet } from "./published_set.ts";

/** Creates the transaction that replaces the current head or creates it. */
export function createHeadSwap(
  metadata: PublicationMetadata,
  current: PublishedSet | undefined,
  publication: Publication,
  changes: readonly ObjectChange[],
): TxnRequest {
  const compare: Compare = current
    ? {
      target: "mod",
      key: CONFIG_HEAD_KEY,
      comparison: "equal",
      operand: current.modRevision,
    }
    : {
      target: "create",
      key: CONFIG_HEAD_KEY,
      comparison: "equal",
      operand: 0,
    };
  const success: TxnOperation[] = [
    {
      kind: "put",
      key: CONFIG_HEAD_KEY,
      value: JSON.stringify(publication.head),
    },
    {
      kind: "put",
      key: publicationRecordKey(metadata.revision),
      value: JSON.stringify(createPublicationRecord(metadata, changes)),
    },
  ];
  const expiredRevision = metadata.revision - MAX_STORED_RECORDS;
  if (expiredRevision > 0) {
    const key = publicationRecordKey(expiredRevision);
    success.push({ kind: "delete", selection: { key } });
  }
  const failure: TxnOperation[] = [
    { kind: "range", selection: { key: CONFIG_HEAD_KEY } },
  ];
  return { compares: [compare], success, failure };
}

/** Creates the transaction that deletes parts last written before the head. */
export function createPartCleanup(
  keys: readonly string[],
  headModRevision: number,
): TxnRequest {
  return {
    compares: keys.map((key) => ({
      target: "mod",
      key,
      comparison: "less",
      operand: headModRevision,
    })),
    success: keys.map((key) => ({ kind: "delete", selection: { key } })),
    failure: [],
  };
}
