import { z } from "zod";
import type { PermitAnswer, PermitAsk, RefusalReason } from "./permit.ts";
import type { PoolLoadReport } from "./pool_mean_estimate.ts";

/**
 * The permit messages between daemons as short arrays, because every request
 * costs one exchange and a daemon has a few kilobytes a second for all of its
 * control traffic. Names of targets stand for themselves; the keeper of a
 * grant and the holder of an ask are known by the connection.
 */

/** Method of the message with asks and returned permits. */
export const PERMIT_METHOD = "p";

const askSchema = z.union([
  z.tuple([z.int(), z.string()]),
  z.tuple([
    z.int(),
    z.string(),
    z.int(),
    z.union([z.literal(0), z.literal(1)]),
  ]),
]);

const reportSchema = z.tuple([
  z.string(),
  z.array(z.int()),
  z.number(),
  z.int(),
]);

/** Asks, ids of returned permits, and reports of pools, in this order. */
export const permitParamsSchema = z.tuple([
  z.array(askSchema),
  z.array(z.int()),
  z.array(reportSchema),
]);

/** Answers in any order, and reports of pools. */
export const permitResultSchema = z.tuple([
  z.array(z.tuple([z.int(), z.int()])),
  z.array(reportSchema),
]);

export type PermitParams = z.infer<typeof permitParamsSchema>;
export type PermitResult = z.infer<typeof permitResultSchema>;
export type EncodedReport = z.infer<typeof reportSchema>;
type EncodedAsk = z.infer<typeof askSchema>;

const REFUSAL_REASONS: readonly RefusalReason[] = [
  "at-limit",
  "not-ready",
  "not-keeper",
  "leaving",
  "pass-on",
];

/** `[askId, target]`, then the chat's hash and 1 if it returns, if given. */
export function encodeAsk(ask: PermitAsk): EncodedAsk {
  if (!ask.chat) return [ask.askId, ask.target];
  return [ask.askId, ask.target, ask.chat.hash, ask.chat.isReturning ? 1 : 0];
}

/** The reverse of `encodeAsk`. */
export function decodeAsk(encoded: EncodedAsk): PermitAsk {
  const [askId, target, hash, returning] = encoded;
  if (hash === undefined) return { askId, target };
  return { askId, target, chat: { hash, isReturning: returning === 1 } };
}

/** `[askId, epoch number]` of a grant, `[askId, -reason]` of a refusal. */
export function encodeAnswer(answer: PermitAnswer): [number, number] {
  if (answer.kind === "granted") return [answer.askId, answer.epoch.number];
  return [answer.askId, -1 - REFUSAL_REASONS.indexOf(answer.reason)];
}

/** The reverse of `encodeAnswer`, with what both sides know. */
export function decodeAnswer(
  encoded: readonly [number, number],
  keeper: string,
  startWithinMs: number,
): PermitAnswer {
  const [askId, code] = encoded;
  if (code > 0) {
    return {
      kind: "granted",
      askId,
      epoch: { number: code, keeper },
      startWithinMs,
    };
  }
  const reason = REFUSAL_REASONS[-1 - code] ?? "not-ready";
  return { kind: "refused", askId, reason };
}

const RATE_PRECISION = 10;

/** Rates are rounded up to a tenth, times to a millisecond. */
export function encodeReport(report: PoolLoadReport): EncodedReport {
  return [
    report.pool,
    [...report.loadsRequests],
    Math.ceil(report.endedPerSecond * RATE_PRECISION) / RATE_PRECISION,
    Math.floor(report.measuredAtMs),
  ];
}

/** The reverse of `encodeReport`. */
export function decodeReport(encoded: EncodedReport): PoolLoadReport {
  const [pool, loadsRequests, endedPerSecond, measuredAtMs] = encoded;
  return { pool, loadsRequests, endedPerSecond, measuredAtMs };
}
