import { readFileSync } from "node:fs";
import { describe, expect, it } from "@jest/globals";
import { EVENTS } from "./events.ts";

const CATALOG_PATH = "docs/reference/events.md";

function rowOf(name: string): string {
  const { number, level, text } = EVENTS[name as keyof typeof EVENTS];
  return `${number} ${name} ${level} ${text}`;
}

describe("the event catalog", () => {
  it("lists the same events in the code and in the docs", () => {
    const rows = readFileSync(CATALOG_PATH, "utf8").split("\n")
      .filter((line) => /^\| \d/.test(line))
      .map((line) =>
        line.split("|").slice(1, 5).map((cell) =>
          cell.trim().replaceAll("`", "")
        ).join(" ")
      );
    expect(rows).toEqual(Object.keys(EVENTS).map(rowOf));
  });

  it("gives every event a unique number", () => {
    const numbers = Object.values(EVENTS).map((event) => event.number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });
});
