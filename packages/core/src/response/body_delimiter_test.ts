import { describe, expect, it } from "@jest/globals";
import {
  type BodyFraming,
  findBodyDelimiter,
  provesCompleteBody,
} from "./body_delimiter.ts";

const GET: BodyFraming = {
  method: "GET",
  status: 200,
  transferEncoding: undefined,
  contentLength: undefined,
};

describe("the end of a body", () => {
  it.each(
    [
      ["a length", { contentLength: "7" }, "length"],
      ["chunks", { transferEncoding: "chunked" }, "chunks"],
      ["chunks in other letters", { transferEncoding: " Chunked" }, "chunks"],
      ["chunks, last of several", { transferEncoding: "x, chunked" }, "chunks"],
      ["nothing in the head", {}, "close"],
      ["the coding identity", { transferEncoding: "identity" }, "close"],
      ["chunks that are not last", { transferEncoding: "chunked, x" }, "close"],
      ["HEAD", { method: "HEAD", contentLength: "7" }, "none"],
      ["status 204", { status: 204 }, "none"],
      ["status 304", { status: 304, contentLength: "7" }, "none"],
    ] as const,
  )("is marked by %s", (_, framing, delimiter) => {
    expect(findBodyDelimiter({ ...GET, ...framing })).toBe(delimiter);
  });

  it("proves the body complete unless the connection's close marks it", () => {
    const delimiters = ["none", "length", "chunks", "close"] as const;
    expect(delimiters.filter(provesCompleteBody))
      .toEqual(["none", "length", "chunks"]);
  });
});
