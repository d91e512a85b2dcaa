import { afterEach, describe, expect, it } from "@jest/globals";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";

const REPEATS = 15;
const BODIES = [["short", "a".repeat(200)], ["long", "b".repeat(60_000)]];

let fixture: EntryFixture;

afterEach(() => fixture.close());

/** Starts a server whose targets send a body and end their connection. */
async function startWith(
  lines: readonly string[],
  body: string,
  end: "close" | "reset",
): Promise<void> {
  fixture = await startEntryFixture(({ socket }) => {
    const head = ["HTTP/1.1 200 OK", ...lines, "", ""].join("\r\n");
    if (end === "close") socket.end(head + body);
    else socket.write(head + body, () => socket.resetAndDestroy());
  });
}

/** Sends calls of a plain service one by one. */
async function sendRepeatedly() {
  const results = [];
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const response = await fetch(`${fixture.baseUrl}/services/bids/1`, {
      method: "POST",
      headers: { "x-coltsfoot-team": "open" },
      body: "a bid",
    });
    const outcome = response.headers.get("x-coltsfoot-outcome");
    results.push({
      status: response.status,
      outcome,
      length: (await response.text()).length,
    });
  }
  return results;
}

// Guards against a reset that arrives with the last bytes of a body without a
// length and is taken for its end.
describe("a call whose target ends an unframed response", () => {
  it.each(BODIES)("fails where it is reset: %s", async (_, body) => {
    await startWith([], body!, "reset");
    for (const { status, outcome } of await sendRepeatedly()) {
      expect([status, outcome]).toEqual([502, "unknown"]);
    }
  });

  it.each(BODIES)("is served where it is closed: %s", async (_, body) => {
    await startWith([], body!, "close");
    for (const { status, outcome, length } of await sendRepeatedly()) {
      expect([status, outcome, length]).toEqual([200, "unknown", body!.length]);
    }
  });

  it.each(BODIES)(
    "is served where it is reset after a length: %s",
    async (_, body) => {
      await startWith([`Content-Length: ${body!.length}`], body!, "reset");
      for (const { status, outcome, length } of await sendRepeatedly()) {
        expect([status, outcome, length])
          .toEqual([200, "completed", body!.length]);
      }
    },
  );
});
