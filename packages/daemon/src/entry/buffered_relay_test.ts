import { afterEach, describe, expect, it } from "@jest/globals";
import type { ServerResponse } from "node:http";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";

const RESPONSE_TIMEOUT_MS = 2_000;
const FILLER = Buffer.alloc(64 * 1024);

/** Writes a body until the connection is closed. */
function sendEndlessBody(outgoing: ServerResponse): void {
  const send = () => {
    while (!outgoing.destroyed && outgoing.write(FILLER));
    if (!outgoing.destroyed) outgoing.once("drain", send);
  };
  send();
}

describe("BufferedRelay", () => {
  let fixture: EntryFixture;

  afterEach(async () => {
    await fixture.close();
  });

  // Guards against a daemon that buffers a body which never ends.
  it.each([200, 500])(
    "leaves a target that sends a body without end with status %i",
    async (status) => {
      let openResponses = 0;
      fixture = await startEntryFixture((_incoming, outgoing) => {
        openResponses += 1;
        outgoing.on("close", () => openResponses -= 1);
        outgoing.writeHead(status);
        sendEndlessBody(outgoing);
      });
      const startedAtMs = performance.now();
      const response = await fetch(`${fixture.baseUrl}/services/bids/1`, {
        method: "POST",
        headers: { "x-coltsfoot-team": "open" },
        body: "a bid",
      });
      expect(performance.now() - startedAtMs).toBeLessThan(RESPONSE_TIMEOUT_MS);
      expect(response.status).toBeGreaterThanOrEqual(500);
      await new Promise((resolve) => setTimeout(resolve, 200));
      expect(openResponses).toBe(0);
    },
  );

  // Guards against a daemon that parses, until the client's deadline, bytes
  // before a head which never comes.
  it.each(["\r\n", "HTTP/1.1 102 Processing\r\n\r\n"])(
    "leaves a target that sends %j without end",
    async (repeated) => {
      const filler = repeated.repeat(1_000);
      let openSockets = 0;
      fixture = await startEntryFixture((incoming) => {
        const { socket } = incoming;
        openSockets += 1;
        socket.on("close", () => openSockets -= 1);
        const send = () => {
          if (socket.destroyed) return;
          if (socket.write(filler)) setImmediate(send);
          else socket.once("drain", send);
        };
        send();
      });
      const startedAtMs = performance.now();
      const response = await fetch(`${fixture.baseUrl}/services/bids/1`, {
        method: "POST",
        headers: { "x-coltsfoot-team": "open" },
        body: "a bid",
        signal: AbortSignal.timeout(4 * RESPONSE_TIMEOUT_MS),
      });
      expect(performance.now() - startedAtMs).toBeLessThan(RESPONSE_TIMEOUT_MS);
      expect(response.status).toBeGreaterThanOrEqual(500);
      await new Promise((resolve) => setTimeout(resolve, 200));
      expect(openSockets).toBe(0);
    },
  );
});
