import { z } from "zod";
import type {
  PermitRequest,
  PermitResponse,
  RejectionReason,
} from "./permit.ts";
import type { PoolLoadReport } from "./pool_mean_estimate.ts";

/**
 * Encoding of the permit messages between daemons. The messages are short
 * arrays because each request costs one round trip and a daemon has a few
 * kilobytes per second for all of its control traffic. An absent element is 0,
 * or is left out at the end of the array. The connection identifies the holder
 * of a request and the owner of a grant.
 */

/** RPC method that requests one permit. */
export const PERMIT_REQUEST_METHOD = "p";
/** RPC notification that returns permits or reports loads. */
export const PERMIT_RETURN_METHOD = "r";

const absentSchema = z.literal(0);
const returnsSchema = z.union([absentSchema, z.array(z.int())]);
/** Pool, load of each owned target, ended permits per second, time in ms. */
const reportSchema = z.tuple([
  z.string(),
  z.array(z.int()),
  z.number(),
  z.int(),
]);
const reportsSchema = z.union([absentSchema, z.array(reportSchema)]);

/** `[permitId, target, wait in ms, alternatives, returns, reports]`. */
export const permitRequestParamsSchema = z.tuple([
  z.int(),
  z.string(),
  z.int().nonnegative().optional(),
  z.union([absentSchema, z.array(z.string())]).optional(),
  returnsSchema.optional(),
  reportsSchema.optional(),
]);

/**
 * `[epoch number, returns, reports, target index]`. The target index refers to
 * the list of requested targets. A rejection has -1 minus the index of its
 * reason in place of the epoch number.
 */
export const permitRequestResultSchema = z.tuple([
  z.int(),
  returnsSchema.optional(),
  reportsSchema.optional(),
  z.int().nonnegative().optional(),
]);

/** `[returns, reports]`. */
export const permitReturnParamsSchema = z.tuple([
  returnsSchema.optional(),
  reportsSchema.optional(),
]);

export type PermitRequestParams = z.infer<typeof permitRequestParamsSchema>;
export type PermitRequestResult = z.infer<typeof permitRequestResultSchema>;
export type PermitReturnParams = z.infer<typeof permitReturnParamsSchema>;
type EncodedReport = z.infer<typeof reportSchema>;

/** Returns and reports that any permit message may carry in addition. */
export interface PermitExtras {
  /** Ids of permits that the holder returns to the owner. */
  readonly returns: readonly number[];
  readonly reports: readonly PoolLoadReport[];
}

const REJECTION_REASONS: readonly RejectionReason[] = [
  "at-limit",
  "not-ready",
  "not-keeper",
  "leaving",
];

/** Encodes the params of a permit request. */
export function encodePermitRequest(
  request: PermitRequest,
  extras: PermitExtras,
): PermitRequestParams {
  const { permitId, target, waitMs, alternatives } = request;
  return trimAbsent([
    permitId,
    target,
    waitMs ?? 0,
    alternatives ?? 0,
    ...encodeExtras(extras),
  ]) as PermitRequestParams;
}

/** Decodes the params of a permit request. */
export function decodePermitRequest(
  params: PermitRequestParams,
): PermitRequest & PermitExtras {
  const [permitId, target, waitMs, alternatives, returns, reports] = params;
  return {
    permitId,
    target,
    ...(waitMs ? { waitMs } : {}),
    ...(alternatives ? { alternatives } : {}),
    ...decodeExtras(returns, reports),
  };
}

/** Encodes the result of a permit request. */
export function encodePermitResponse(
  request: PermitRequest,
  response: PermitResponse,
  extras: PermitExtras,
): PermitRequestResult {
  const code = response.kind === "granted"
    ? response.epoch.number
    : -1 - REJECTION_REASONS.indexOf(response.reason);
  const targetIndex = response.kind === "granted"
    ? targetsOf(request).indexOf(response.target)
    : 0;
  const result = [code, ...encodeExtras(extras), targetIndex];
  return trimAbsent(result) as PermitRequestResult;
}

/** All targets that a request may be granted for, in order of preference. */
export function targetsOf(request: PermitRequest): readonly string[] {
  return [request.target, ...request.alternatives ?? []];
}

/** Decodes the result of `request`, which the daemon `owner` sent. */
export function decodePermitResponse(
  result: PermitRequestResult,
  request: PermitRequest,
  owner: string,
  startWithinMs: number,
): { readonly response: PermitResponse; readonly extras: PermitExtras } {
  const [code, returns, reports, targetIndex = 0] = result;
  const { permitId } = request;
  const extras = decodeExtras(returns, reports);
  const target = targetsOf(request)[targetIndex];
  if (code > 0 && target !== undefined) {
    const epoch = { number: code, owner };
    const response = {
      kind: "granted",
      permitId,
      target,
      epoch,
      startWithinMs,
    } as const;
    return { response, extras };
  }
  const reason = REJECTION_REASONS[-1 - code] ?? "not-ready";
  return { response: { kind: "refused", permitId, reason }, extras };
}

/** Encodes the params of a notification with returns and reports. */
export function encodeReturns(extras: PermitExtras): PermitReturnParams {
  return trimAbsent(encodeExtras(extras)) as PermitReturnParams;
}

/** Decodes the params of a notification with returns and reports. */
export function decodeReturns(params: PermitReturnParams): PermitExtras {
  return decodeExtras(params[0], params[1]);
}

function encodeExtras({ returns, reports }: PermitExtras): unknown[] {
  return [
    returns.length > 0 ? [...returns] : 0,
    reports.length > 0 ? reports.map(encodeReport) : 0,
  ];
}

function decodeExtras(
  returns: readonly number[] | 0 | undefined,
  reports: readonly EncodedReport[] | 0 | undefined,
): PermitExtras {
  return {
    returns: returns || [],
    reports: (reports || []).map(decodeReport),
  };
}

function trimAbsent(elements: unknown[]): unknown[] {
  let length = elements.length;
  while (length > 0 && elements[length - 1] === 0) length -= 1;
  return elements.slice(0, length);
}

const RATE_PRECISION = 10;

/** Rounds the rate up to a tenth and the time down to a millisecond. */
function encodeReport(report: PoolLoadReport): EncodedReport {
  return [
    report.pool,
    [...report.loadsRequests],
    Math.ceil(report.endedPerSecond * RATE_PRECISION) / RATE_PRECISION,
    Math.floor(report.measuredAtMs),
  ];
}

function decodeReport(encoded: EncodedReport): PoolLoadReport {
  const [pool, loadsRequests, endedPerSecond, measuredAtMs] = encoded;
  return { pool, loadsRequests, endedPerSecond, measuredAtMs };
}
