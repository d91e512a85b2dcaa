import { describe, expect, it } from "@jest/globals";
import { MAX_SLICE_BYTES, nextInputSlice } from "./input_slice.ts";

const HEAD = "POST / HTTP/1.1\r\nHost: a\r\n\r\n";

/** The slices in which an input is parsed. */
function slices(text: string, declaredBytes = 0): string[] {
  const parts: string[] = [];
  let declaredLeft = declaredBytes;
  for (let rest = text; rest !== "";) {
    const bytes = nextInputSlice(Buffer.from(rest), declaredLeft);
    parts.push(rest.slice(0, bytes));
    declaredLeft = Math.max(0, declaredLeft - bytes);
    rest = rest.slice(bytes);
  }
  return parts;
}

describe("nextInputSlice", () => {
  // Guards against a connection whose requests are all parsed at once.
  it("ends after each head and after each body", () => {
    expect(slices(HEAD.repeat(3))).toEqual([HEAD, HEAD, HEAD]);
    const chunked = "1\r\nx\r\n0\r\n\r\n";
    expect(slices(`${chunked}${HEAD}`)).toEqual([chunked, HEAD]);
    expect(slices(`body${HEAD}${HEAD}`, 4)).toEqual(["body", HEAD, HEAD]);
    expect(slices(`GET /\n\n${HEAD}`)).toEqual(["GET /\n\n", HEAD]);
  });

  it("takes a head and a short body in one slice", () => {
    expect(slices(`${HEAD}a body`)).toEqual([`${HEAD}a body`]);
    const long = "b".repeat(MAX_SLICE_BYTES);
    expect(slices(`${HEAD}${long}`)[0]).toBe(HEAD);
  });

  it("takes a body with a length in one slice", () => {
    const body = "\r\n\r\n".repeat(MAX_SLICE_BYTES);
    expect(slices(body, body.length)).toEqual([body]);
  });

  // Guards against chunks of a byte that keep the event loop busy for long.
  it("bounds the slices of a body in chunks", () => {
    const parts = slices("1\r\nx\r\n".repeat(10_000));
    expect(Math.max(...parts.map(({ length }) => length)))
      .toBe(MAX_SLICE_BYTES);
  });
});
