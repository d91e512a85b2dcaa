import { describe, expect, it } from "@jest/globals";
import {
  decodePermitRequest,
  decodePermitResponse,
  decodeReturns,
  encodePermitRequest,
  encodePermitResponse,
  encodeReturns,
  permitRequestParamsSchema,
  permitRequestResultSchema,
  permitReturnParamsSchema,
} from "./permit_codec.ts";
import type { PermitResponse } from "./permit.ts";

const NO_EXTRAS = { returns: [], reports: [] };
const EXTRAS = {
  returns: [3, 4],
  reports: [{
    pool: "writers",
    loadsRequests: [8, 9],
    endedPerSecond: 2.5,
    measuredAtMs: 1_000,
  }],
};

describe("permit messages", () => {
  it("decode to what was encoded", () => {
    const request = { permitId: 7, target: "t1" };
    for (const extras of [NO_EXTRAS, EXTRAS]) {
      const withWait = { ...request, waitMs: 90 };
      const withAlternatives = { ...withWait, alternatives: ["t2", "t3"] };
      for (const sent of [request, withWait, withAlternatives]) {
        const wire = JSON.parse(
          JSON.stringify(encodePermitRequest(sent, extras)),
        );
        const decoded = decodePermitRequest(
          permitRequestParamsSchema.parse(wire),
        );
        expect(decoded).toEqual({ ...sent, ...extras });
      }
      const wire = JSON.parse(JSON.stringify(encodeReturns(extras)));
      const decoded = decodeReturns(permitReturnParamsSchema.parse(wire));
      expect(decoded).toEqual(extras);
    }
  });

  it("carry grants and rejections", () => {
    const epoch = { number: 5, owner: "owner" };
    const request = { permitId: 7, target: "t1", alternatives: ["t2"] };
    const grant = { kind: "granted", permitId: 7, epoch, startWithinMs: 400 };
    const responses = [
      { ...grant, target: "t1" },
      { ...grant, target: "t2" },
      { kind: "refused", permitId: 7, reason: "at-limit" },
      { kind: "refused", permitId: 7, reason: "leaving" },
    ] as PermitResponse[];
    for (const response of responses) {
      const sent = encodePermitResponse(request, response, EXTRAS);
      const wire = JSON.parse(JSON.stringify(sent));
      const result = permitRequestResultSchema.parse(wire);
      const decoded = decodePermitResponse(result, request, "owner", 400);
      expect(decoded).toEqual({ response, extras: EXTRAS });
    }
  });

  it("leave out absent elements", () => {
    const request = { permitId: 7, target: "t1" };
    const params = encodePermitRequest(request, NO_EXTRAS);
    expect(params).toEqual([7, "t1"]);
    const response = {
      kind: "refused",
      permitId: 7,
      reason: "at-limit",
    } as const;
    expect(encodePermitResponse(request, response, NO_EXTRAS)).toEqual([-1]);
  });
});
