import { afterEach, describe, expect, it } from "@jest/globals";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";

/** Requests that may reach a target within the time that it named. */
const ALLOWED = 2;

describe("a target that turns requests away for a time", () => {
  let fixture: EntryFixture;

  afterEach(async () => {
    await fixture.close();
  });

  // Guards against calls to a target that wants none for a time.
  it("gets no more calls of the own interface", async () => {
    let calls = 0;
    fixture = await startEntryFixture((incoming, outgoing) => {
      if (incoming.method === "POST") calls += 1;
      outgoing.writeHead(503, {
        "x-target-ran": "no",
        "x-request-id": String(incoming.headers["x-request-id"]),
        "retry-after": "30",
      });
      outgoing.end();
    });
    for (let call = 0; call < 10; call++) {
      await fetch(`${fixture.baseUrl}/services/bids/1`, {
        method: "POST",
        headers: { "x-coltsfoot-team": "open" },
      });
    }
    expect(calls).toBeLessThanOrEqual(ALLOWED);
  });
});
