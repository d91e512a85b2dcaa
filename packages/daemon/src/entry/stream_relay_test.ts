import { afterEach, describe, expect, it } from "@jest/globals";
import type { IncomingMessage, RequestListener } from "node:http";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
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

/** Longer than the pause after which a target may have aborted for it. */
const UNREAD_TIMEOUT_MS = 1_500;
const SETTLE_MS = 300;
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

  // Guards against healthy targets that are taken for faulty because they abort
  // responses which slow clients leave unread.
  it("does not blame a target for a stream that its client left unread", async () => {
    let resolveAborted = () => {};
    const aborted = new Promise<void>((resolve) => resolveAborted = resolve);
    let attempts = 0;
    fixture = await startEntryFixture((incoming, outgoing) => {
      if (incoming.url !== CHAT_PATH) return void outgoing.end("{}");
      attempts += 1;
      if (attempts > 1) return;
      outgoing.writeHead(200, { "content-type": "text/event-stream" });
      let index = 0;
      const send = () => {
        const token = formatTokenEvent(incoming, "t".repeat(10_000), index++);
        if (outgoing.write(token)) return void setImmediate(send);
        const abort = () => {
          outgoing.destroy();
          resolveAborted();
        };
        const timeout = setTimeout(abort, UNREAD_TIMEOUT_MS);
        outgoing.once("drain", () => {
          clearTimeout(timeout);
          send();
        });
      };
      send();
    });
    const { hostname, port } = new URL(fixture.baseUrl);
    const socket = connect({ host: hostname, port: Number(port) });
    const body = JSON.stringify({
      model: "writer",
      messages: [{ role: "user", content: "a" }],
      stream: true,
    });
    socket.write(
      `POST ${CHAT_PATH} HTTP/1.1\r\nHost: a\r\nX-Coltsfoot-Team: open\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
    await aborted;
    // The daemon notices the abort once its client reads on.
    socket.resume();
    await sleep(SETTLE_MS);
    expect(attempts).toBe(2);
    expect(fixture.metrics.counter("attempts_failed_total")).toBe(0);
    socket.destroy();
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
