import { describe, expect, it } from "@jest/globals";
import { readFileSync } from "node:fs";
import { COMMANDS } from "./commands/index.ts";
import { describeCli } from "./describe_cli.ts";

/** The formatter lays out tables; their words are what must agree. */
const normalize = (text: string) =>
  text.replace(/-{3,}/g, "---").replace(/[ \t]+/g, " ").trim();

describe("the reference of the command line", () => {
  it("says what the help says", () => {
    const page = readFileSync("docs/reference/cli.md", "utf8");
    expect(normalize(page)).toBe(normalize(describeCli(COMMANDS)));
  });
});
