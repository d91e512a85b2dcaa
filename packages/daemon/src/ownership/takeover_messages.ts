import type { CollectRequest, CollectResponse } from "@coltsfootford/core";
import { z } from "zod";

/**
 * The messages of a takeover. The messages of each client request (permit
 * requests and returns) are encoded by the permit codec of core.
 */

/** Method by which a holder lists requests that a new owner must count. */
export const ADOPT_METHOD = "pa";
/** Method by which a new owner collects the permits of the previous owner. */
export const COLLECT_METHOD = "pc";
/** Method by which a holder notifies an owner of the epoch that replaced it. */
export const NEWER_EPOCH_METHOD = "pe";

const permitIdsSchema = z.array(z.int());
const epochNumberSchema = z.int().positive();

/** Target, and the permit ids of running requests. */
export const adoptParamsSchema = z.tuple([z.string(), permitIdsSchema]);

/** Target and epoch number; the owner is the sender. */
export const collectParamsSchema = z.tuple([z.string(), epochNumberSchema]);

/** Target, epoch number and owner. */
export const newerEpochSchema = z.tuple([
  z.string(),
  epochNumberSchema,
  z.string(),
]);

/**
 * Either 1, the permit ids of the running requests and the previous owner's
 * number of orphans (requests without a known holder), or 0 and the newer epoch
 * that the holder has received (number and owner).
 */
export const collectResponseSchema = z.union([
  z.tuple([z.literal(1), permitIdsSchema, z.int().optional()]),
  z.tuple([z.literal(0), epochNumberSchema, z.string()]),
]);

/** A holder's response to a collect request on the wire. */
export type WireCollectResponse = z.infer<typeof collectResponseSchema>;

/** Encodes a holder's response to a collect request. */
export function encodeCollectResponse(
  response: CollectResponse,
): WireCollectResponse {
  if (response.kind === "collected") {
    const { startedPermitIds, orphanRequests } = response;
    if (orphanRequests === undefined) return [1, [...startedPermitIds]];
    return [1, [...startedPermitIds], orphanRequests];
  }
  return [0, response.epoch.number, response.epoch.owner];
}

/** Decodes a holder's response to `request`. */
export function decodeCollectResponse(
  wire: WireCollectResponse,
  request: CollectRequest,
): CollectResponse {
  const { target, epoch } = request;
  if (wire[0] === 1) {
    const [, startedPermitIds, orphanRequests] = wire;
    const response = {
      kind: "collected",
      target,
      epoch,
      startedPermitIds,
    } as const;
    return orphanRequests === undefined
      ? response
      : { ...response, orphanRequests };
  }
  const [, number, owner] = wire;
  return { kind: "newer-epoch", target, epoch: { number, owner } };
}
