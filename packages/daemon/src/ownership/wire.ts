import type { CollectAnswer, CollectRequest } from "@coltsfootford/core";
import { z } from "zod";

/**
 * The messages of a take-over. Those of every request, asks and returns, are
 * encoded by the permit codec of core.
 */

/** Method by which a holder names requests that a new keeper must count. */
export const ADOPT_METHOD = "pa";
/** Method by which a new keeper collects the permits of its predecessor. */
export const COLLECT_METHOD = "pc";
/** Method by which a holder tells a keeper of the epoch that replaced it. */
export const NEWER_EPOCH_METHOD = "pe";

const permitIdsSchema = z.array(z.int());
const epochNumberSchema = z.int().positive();

/** Target, and the ask numbers of running requests. */
export const adoptParamsSchema = z.tuple([z.string(), permitIdsSchema]);

/** Target and epoch number; the keeper is the sender. */
export const collectParamsSchema = z.tuple([z.string(), epochNumberSchema]);

/** Target, epoch number and keeper. */
export const newerEpochSchema = z.tuple([
  z.string(),
  epochNumberSchema,
  z.string(),
]);

/** 1, the running asks and the former keeper's orphans, or 0 and the newer epoch that was met. */
export const collectAnswerSchema = z.union([
  z.tuple([z.literal(1), permitIdsSchema, z.int().optional()]),
  z.tuple([z.literal(0), epochNumberSchema, z.string()]),
]);

/** A holder's answer to a collect request on the wire. */
export type WireCollectAnswer = z.infer<typeof collectAnswerSchema>;

/** Writes a holder's answer to a collect request. */
export function encodeCollectAnswer(answer: CollectAnswer): WireCollectAnswer {
  if (answer.kind === "collected") {
    const { startedPermitIds: startedPermitIds, orphanRequests } = answer;
    if (orphanRequests === undefined) return [1, [...startedPermitIds]];
    return [1, [...startedPermitIds], orphanRequests];
  }
  return [0, answer.epoch.number, answer.epoch.owner];
}

/** Reads a holder's answer to `request`. */
export function decodeCollectAnswer(
  wire: WireCollectAnswer,
  request: CollectRequest,
): CollectAnswer {
  const { target, epoch } = request;
  if (wire[0] === 1) {
    const [, startedPermitIds, orphanRequests] = wire;
    const answer = {
      kind: "collected",
      target,
      epoch,
      startedPermitIds: startedPermitIds,
    } as const;
    return orphanRequests === undefined
      ? answer
      : { ...answer, orphanRequests };
  }
  const [, number, owner] = wire;
  return { kind: "newer-epoch", target, epoch: { number, owner: owner } };
}
