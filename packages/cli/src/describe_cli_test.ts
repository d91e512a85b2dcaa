import { describe, expect, it } from "@jest/globals";
import { readFileSync } from "node:fs";
import { COMMANDS } from "./commands/index.ts";
import { describeCli } from "./describe_cli.ts";

/** Removes the column padding that the formatter adds to tables. */
const normalize = (text: string) =>
  text.replace(/-{3,}/g, "---").replace(/[ \t]+/g, " ").trim();

describe("the reference of the command line", () => {
  it("matches the help texts", () => {
    const page = readFileSync("docs/reference/cli.md", "utf8");
    expect(normalize(page)).toBe(normalize(describeCli(COMMANDS)));
  });
});
