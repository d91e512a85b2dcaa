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
  KEPT_RECORDS,
} from "./publication_records.ts";
import type { PublishedSet } from "./published_set.ts";

/** Replaces the head that was read, or creates the first one. */
export function createSwap(
  facts: PublicationMetadata,
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
      key: publicationRecordKey(facts.revision),
      value: JSON.stringify(createPublicationRecord(facts, changes)),
    },
  ];
  const oldRevision = facts.revision - KEPT_RECORDS;
  if (oldRevision > 0) {
    const key = publicationRecordKey(oldRevision);
    success.push({ kind: "delete", selection: { key } });
  }
  const failure: TxnOperation[] = [
    { kind: "range", selection: { key: CONFIG_HEAD_KEY } },
  ];
  return { compares: [compare], success, failure };
}

/** Deletes parts that were last written before the head. */
export function createCleanUp(
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
