import { afterEach, describe, expect, it } from "@jest/globals";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";
import { ENTRY_REQUESTS } from "./testing/entry_requests.ts";

/** Header lines that the parser accepts and that no response may have. */
const ODD_LINES = [
  "X Odd: a",
  "X-Odd : a",
  ": a",
  "X(Odd): a",
  "X\x01Odd: a",
  "X-Odd: a\x01b",
] as const;
const ODD_STATUSES = ["000", "099", "012", "1000", "-200"] as const;
const HUGE = "9".repeat(400);
const HUGE_LINES = [
  `Keep-Alive: timeout=${HUGE}`,
  `Retry-After: ${HUGE}`,
] as const;
const BODY = "a body";
const RESPONSE_TIMEOUT_MS = 4_000;

let fixture: EntryFixture;

afterEach(() => fixture.close());

/** Starts a server whose targets respond with these bytes. */
async function startWith(
  status: string,
  lines: readonly string[],
): Promise<void> {
  fixture = await startEntryFixture(({ socket, headers }) => {
    socket.write([
      `HTTP/1.1 ${status} Status`,
      "X-Of-Target: a",
      `x-request-id: ${headers["x-request-id"]}`,
      ...lines,
      `Content-Length: ${BODY.length}`,
      "",
      BODY,
    ].join("\r\n"));
  });
}

const send = (path: string, body: string) =>
  fetch(`${fixture.baseUrl}${path}`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-coltsfoot-team": "open",
    },
    body,
    signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
  });

// Guards against a malformed head of a target that ends the process, or that is
// taken for a fault of the daemon, so that the
// attempt is not counted and headers of the target stay in the error response.
describe.each(ENTRY_REQUESTS)(
  "%s whose target sends an odd head",
  (_, path, body) => {
    const cases = ["200", "500"].flatMap((status) =>
      ODD_LINES.map((line) => [status, line] as const)
    );

    it.each(cases)(
      "fails alone with status %s and %j",
      async (status, line) => {
        await startWith(status, [line]);
        const response = await send(path, body);
        const text = await response.text();
        expect([response.status, text.includes("internal_fault")])
          .toEqual([502, false]);
        expect(response.headers.get("x-of-target")).toBeNull();
        expect(response.headers.get("x-coltsfoot-outcome")).toBe("unknown");
      },
    );

    it.each(ODD_STATUSES)("fails alone with status %s", async (status) => {
      await startWith(status, []);
      const response = await send(path, body);
      expect((await response.text()).includes("internal_fault")).toBe(false);
      expect(response.status).toBeGreaterThanOrEqual(500);
      expect(response.headers.get("x-coltsfoot-outcome")).toBe("unknown");
    });
  },
);

describe("a call whose target sends a number out of range", () => {
  it.each(HUGE_LINES)("is served", async (line) => {
    await startWith("200", [line]);
    const response = await send("/services/bids/1", "a bid");
    expect(await response.text()).toBe(BODY);
  });
});
