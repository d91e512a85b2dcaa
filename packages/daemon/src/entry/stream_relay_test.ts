import { afterEach, describe, expect, it } from "@jest/globals";
import type { IncomingMessage, RequestListener } from "node:http";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";

/** Formats one token as a server-sent event, with an id if one is given. */
function formatTokenEvent(
  incoming: IncomingMessage,
  token: string,
  eventId?: number,
): string {
  const id = `chatcmpl-${incoming.headers["x-request-id"]}`;
  const choices = [{ index: 0, delta: { content: token } }];
  const idLine = eventId === undefined ? "" : `id: ${eventId}\n`;
  return `${idLine}data: ${JSON.stringify({ id, choices })}\n\n`;
}

const CHAT_PATH = "/v1/chat/completions";
const FOREIGN_CHUNK = 'data: {"id":"chatcmpl-other","choices":[]}\n\n';

describe("StreamRelay", () => {
  let fixture: EntryFixture;

  afterEach(async () => {
    await fixture.close();
  });

  /** Requests a stream and returns the text received before it broke off. */
  async function readCutStream(target: RequestListener): Promise<string> {
    fixture = await startEntryFixture((incoming, outgoing) => {
      if (incoming.url === CHAT_PATH) target(incoming, outgoing);
      else outgoing.end("{}");
    });
    const response = await fetch(fixture.baseUrl + CHAT_PATH, {
      method: "POST",
      headers: { "x-coltsfoot-team": "open" },
      body: JSON.stringify({
        model: "writer",
        messages: [{ role: "user", content: "a" }],
        stream: true,
      }),
    });
    let text = "";
    try {
      for await (const chunk of response.body ?? []) {
        text += Buffer.from(chunk).toString();
      }
    } catch {
      // The tests expect the connection to be cut.
    }
    return text;
  }

  it("relays a token only once when an invalid chunk follows in the same packet", async () => {
    let attempts = 0;
    const text = await readCutStream((incoming, outgoing) => {
      attempts += 1;
      outgoing.writeHead(200, { "content-type": "text/event-stream" });
      outgoing.write(formatTokenEvent(incoming, "oak") + FOREIGN_CHUNK);
    });
    expect(text.match(/"oak"/g)).toHaveLength(1);
    expect(text).not.toContain("[DONE]");
    expect(attempts).toBe(1);
  });

  it("resumes the next attempt after the tokens that were relayed with an id", async () => {
    const resumeHeaders: unknown[] = [];
    const text = await readCutStream((incoming, outgoing) => {
      resumeHeaders.push(incoming.headers["x-coltsfoot-resume-after-tokens"]);
      outgoing.writeHead(200, { "content-type": "text/event-stream" });
      outgoing.write(formatTokenEvent(incoming, "oak", 0) + FOREIGN_CHUNK);
    });
    expect(text.match(/"oak"/g)).toHaveLength(1);
    expect(resumeHeaders.slice(0, 2)).toEqual([undefined, "1"]);
  });

  // Guards against a daemon that buffers an event which never ends.
  it("leaves a target that sends an event without end", async () => {
    let openResponses = 0;
    const text = await readCutStream((_incoming, outgoing) => {
      openResponses += 1;
      outgoing.on("close", () => openResponses -= 1);
      outgoing.writeHead(200, { "content-type": "text/event-stream" });
      const send = () => {
        while (!outgoing.destroyed && outgoing.write("data: ".repeat(1_000)));
        if (!outgoing.destroyed) outgoing.once("drain", send);
      };
      send();
    });
    expect(text).not.toContain("[DONE]");
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(openResponses).toBe(0);
  });
});
