import { describe, expect, it } from "@jest/globals";
import {
  decodeAnswer,
  decodeAsk,
  decodeReturns,
  encodeAnswer,
  encodeAsk,
  encodeReturns,
  permitAskParamsSchema,
  permitAskResultSchema,
  permitReturnParamsSchema,
} from "./permit_codec.ts";

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
  it("come back from the wire as they were", () => {
    const ask = { askId: 7, target: "t1" };
    for (const extras of [NO_EXTRAS, EXTRAS]) {
      for (const sent of [ask, { ...ask, waitMs: 90 }]) {
        const wire = JSON.parse(JSON.stringify(encodeAsk(sent, extras)));
        const read = decodeAsk(permitAskParamsSchema.parse(wire));
        expect(read).toEqual({ ...sent, ...extras });
      }
      const wire = JSON.parse(JSON.stringify(encodeReturns(extras)));
      const read = decodeReturns(permitReturnParamsSchema.parse(wire));
      expect(read).toEqual(extras);
    }
  });

  it("carry grants and every refusal", () => {
    const epoch = { number: 5, keeper: "k" };
    const answers = [
      { kind: "granted", askId: 7, epoch, startWithinMs: 400 },
      { kind: "refused", askId: 7, reason: "at-limit" },
      { kind: "refused", askId: 7, reason: "leaving" },
    ] as const;
    for (const answer of answers) {
      const wire = JSON.parse(JSON.stringify(encodeAnswer(answer, EXTRAS)));
      const result = permitAskResultSchema.parse(wire);
      const read = decodeAnswer(result, 7, "k", 400);
      expect(read).toEqual({ answer, extras: EXTRAS });
    }
  });

  it("leave absent parts out", () => {
    const params = encodeAsk({ askId: 7, target: "t1" }, NO_EXTRAS);
    expect(params).toEqual([7, "t1"]);
    const answer = { kind: "refused", askId: 7, reason: "at-limit" } as const;
    expect(encodeAnswer(answer, NO_EXTRAS)).toEqual([-1]);
  });
});
