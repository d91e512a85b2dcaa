import { describe, expect, it } from "@jest/globals";
import { ResponseLimits } from "./response_limits.ts";

const MEGABYTE = 1024 * 1024;

describe("ResponseLimits", () => {
  it("allows a large response in chunks of one byte", () => {
    const limits = new ResponseLimits(0);
    limits.allowBody(undefined);
    limits.recordReceived(6 * MEGABYTE);
    limits.recordBody(MEGABYTE);
    expect(limits.findExcess()).toBeUndefined();
  });

  it("bounds the body of an error more than that of a success", () => {
    const limits = new ResponseLimits(0);
    limits.recordReceived(MEGABYTE);
    limits.recordBody(MEGABYTE);
    expect(limits.findExcess()).toBe("answer too large");
    limits.allowBody(undefined);
    expect(limits.findExcess()).toBeUndefined();
  });

  it("bounds bytes that belong to no body", () => {
    const limits = new ResponseLimits(0);
    limits.recordReceived(300 * 1024);
    expect(limits.findExcess()).toBe("too many bytes beside the body");
  });

  it("bounds the events by the tokens that were requested", () => {
    const limits = new ResponseLimits(1_000);
    for (let id = 1; id <= 1_000; id++) limits.recordEvent(String(id));
    expect(limits.findExcess()).toBeUndefined();
    for (let id = 1_001; id <= 1_300; id++) limits.recordEvent(String(id));
    expect(limits.findExcess()).toBe("too many events");
  });

  it("allows a larger body where the head states its length", () => {
    const limits = new ResponseLimits(0);
    limits.allowBody(8 * MEGABYTE);
    limits.recordReceived(8 * MEGABYTE);
    limits.recordBody(8 * MEGABYTE);
    expect(limits.findExcess()).toBeUndefined();
  });

  it("allows a long stream whose events have no ids", () => {
    const limits = new ResponseLimits(0);
    limits.allowStream();
    for (let event = 0; event < 5_000; event++) limits.recordEvent(undefined);
    expect(limits.findExcess()).toBeUndefined();
  });
});

describe("a body that arrives in pieces of a few bytes", () => {
  const receive = (limits: ResponseLimits, pieces: number) => {
    for (let piece = 0; piece < pieces; piece++) {
      limits.recordReceived(11);
      limits.recordBody(5);
    }
    return limits.findExcess();
  };

  // Guards against a daemon that spends its processor time on a body whose bytes
  // are within their limit.
  it("is bounded where it is buffered", () => {
    const limits = new ResponseLimits(0);
    limits.allowBody(undefined);
    expect(receive(limits, 60_000)).toBeUndefined();
    expect(receive(limits, 10_000)).toMatch(/pieces/);
  });

  it("is not bounded where it is a stream", () => {
    const limits = new ResponseLimits(0);
    limits.allowStream();
    expect(receive(limits, 80_000)).toBeUndefined();
  });
});
