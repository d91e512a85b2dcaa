import { z } from "zod";
import type { PermitRequest, PermitResponse, RefusalReason } from "./permit.ts";
import type { PoolLoadReport } from "./pool_mean_estimate.ts";

/**
 * The permit messages between daemons as short arrays, because every request
 * costs one exchange and a daemon has a few kilobytes a second for all of its
 * control traffic. Parts that are absent are 0, or left out at the end. The
 * holder of an ask and the keeper of a grant are known by the connection.
 */

/** Method of a call that asks for one permit. */
export const PERMIT_REQUEST_METHOD = "p";
/** Method of a notification that hands permits back or reports loads. */
export const PERMIT_RETURN_METHOD = "r";

const absentSchema = z.literal(0);
const returnsSchema = z.union([absentSchema, z.array(z.int())]);
/** Pool, load of each kept target, ends a second, time in ms. */
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
 * `[epoch number or minus the refusal, returns, reports, place of the target
 * among the asked ones]`.
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

/** What every permit message may carry beside its own content. */
export interface PermitExtras {
  /** Ids of asks whose permits are handed back. */
  readonly returns: readonly number[];
  readonly reports: readonly PoolLoadReport[];
}

const REFUSAL_REASONS: readonly RefusalReason[] = [
  "at-limit",
  "not-ready",
  "not-keeper",
  "leaving",
];

/** Params of a call that asks for a permit. */
export function encodePermitRequest(
  ask: PermitRequest,
  extras: PermitExtras,
): PermitRequestParams {
  const { permitId, target, waitMs, alternatives } = ask;
  return trimAbsent([
    permitId,
    target,
    waitMs ?? 0,
    alternatives ?? 0,
    ...encodeExtras(extras),
  ]) as PermitRequestParams;
}

/** The reverse of `encodePermitRequest`. */
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

/** Result of a call that asks for a permit. */
export function encodeAnswer(
  ask: PermitRequest,
  answer: PermitResponse,
  extras: PermitExtras,
): PermitRequestResult {
  const code = answer.kind === "granted"
    ? answer.epoch.number
    : -1 - REFUSAL_REASONS.indexOf(answer.reason);
  const place = answer.kind === "granted"
    ? targetsOf(ask).indexOf(answer.target)
    : 0;
  const result = [code, ...encodeExtras(extras), place];
  return trimAbsent(result) as PermitRequestResult;
}

/** Every target that an ask may be granted for, the first one first. */
export function targetsOf(ask: PermitRequest): readonly string[] {
  return [ask.target, ...ask.alternatives ?? []];
}

/** The reverse of `encodeAnswer`, with what the asker knows. */
export function decodeAnswer(
  result: PermitRequestResult,
  ask: PermitRequest,
  owner: string,
  startWithinMs: number,
): { readonly answer: PermitResponse; readonly extras: PermitExtras } {
  const [code, returns, reports, place = 0] = result;
  const { permitId } = ask;
  const extras = decodeExtras(returns, reports);
  const target = targetsOf(ask)[place];
  if (code > 0 && target !== undefined) {
    const epoch = { number: code, owner: owner };
    const answer = {
      kind: "granted",
      permitId,
      target,
      epoch,
      startWithinMs,
    } as const;
    return { answer, extras };
  }
  const reason = REFUSAL_REASONS[-1 - code] ?? "not-ready";
  return { answer: { kind: "refused", permitId: permitId, reason }, extras };
}

/** Params of a notification with returns and reports. */
export function encodeReturns(extras: PermitExtras): PermitReturnParams {
  return trimAbsent(encodeExtras(extras)) as PermitReturnParams;
}

/** The reverse of `encodeReturns`. */
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

function trimAbsent(parts: unknown[]): unknown[] {
  let length = parts.length;
  while (length > 0 && parts[length - 1] === 0) length -= 1;
  return parts.slice(0, length);
}

const RATE_PRECISION = 10;

/** Rates are rounded up to a tenth, times to a millisecond. */
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
