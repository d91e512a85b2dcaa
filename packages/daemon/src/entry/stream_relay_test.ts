import { afterEach, describe, expect, it } from "@jest/globals";
import type { IncomingMessage, RequestListener } from "node:http";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";

/** One event of an answer; `eventId` is left out where it is undefined. */
function writeToken(
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

  /** Asks for a stream and returns all that arrived before it was cut. */
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
      // The cut of the connection is what the tests are about.
    }
    return text;
  }

  it("passes a token on once where a fault follows it in the same packet", async () => {
    let tries = 0;
    const text = await readCutStream((incoming, outgoing) => {
      tries += 1;
      outgoing.writeHead(200, { "content-type": "text/event-stream" });
      outgoing.write(writeToken(incoming, "oak") + FOREIGN_CHUNK);
    });
    expect(text.match(/"oak"/g)).toHaveLength(1);
    expect(text).not.toContain("[DONE]");
    expect(tries).toBe(1);
  });

  it("asks the next try to go on behind the numbered tokens", async () => {
    const resumeHeaders: unknown[] = [];
    const text = await readCutStream((incoming, outgoing) => {
      resumeHeaders.push(incoming.headers["x-coltsfoot-resume-after-tokens"]);
      outgoing.writeHead(200, { "content-type": "text/event-stream" });
      outgoing.write(writeToken(incoming, "oak", 0) + FOREIGN_CHUNK);
    });
    expect(text.match(/"oak"/g)).toHaveLength(1);
    expect(resumeHeaders.slice(0, 2)).toEqual([undefined, "1"]);
  });
});
