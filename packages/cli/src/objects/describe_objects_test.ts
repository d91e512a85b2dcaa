import { describe, expect, it } from "@jest/globals";
import { readFileSync } from "node:fs";
import { describeObjects } from "./describe_objects.ts";

/** The formatter wraps lines; words and tables are what must agree. */
const normalize = (text: string) =>
  text.replace(/-{3,}/g, "---").replace(/\s+/g, " ").trim();

describe("the reference of the objects", () => {
  it("says what the schemas say", () => {
    const page = readFileSync("docs/reference/objects.md", "utf8");
    expect(normalize(page)).toBe(normalize(describeObjects()));
  });
});
