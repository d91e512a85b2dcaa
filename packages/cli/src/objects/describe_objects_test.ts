import { describe, expect, it } from "@jest/globals";
import { readFileSync } from "node:fs";
import { describeObjects } from "./describe_objects.ts";

/** Removes line wraps and table padding, which the formatter changes. */
const normalize = (text: string) =>
  text.replace(/-{3,}/g, "---").replace(/\s+/g, " ").trim();

describe("the reference of the objects", () => {
  it("matches the schemas", () => {
    const page = readFileSync("docs/reference/objects.md", "utf8");
    expect(normalize(page)).toBe(normalize(describeObjects()));
  });
});
