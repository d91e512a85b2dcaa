/**
 * A target that responds immediately, so that a measurement shows the overhead
 * of the proxy or daemon in front of the target. It prints its port as one JSON
 * line.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

const STREAMED_TOKENS = 20;

function formatChunk(id: string, choice: object, usage?: object): string {
  const object = "chat.completion.chunk";
  const choices = [{ index: 0, ...choice }];
  return `data: ${JSON.stringify({ id, object, choices, usage })}\n\n`;
}

function formatStream(id: string): string {
  const usage = {
    prompt_tokens: 1,
    completion_tokens: STREAMED_TOKENS,
    total_tokens: STREAMED_TOKENS + 1,
  };
  let text = "";
  for (let token = 0; token < STREAMED_TOKENS; token++) {
    text += formatChunk(id, { delta: { content: `t${token} ` } });
  }
  text += formatChunk(id, { delta: {}, finish_reason: "stop" }, usage);
  return `${text}data: [DONE]\n\n`;
}

const server = createServer((incoming, outgoing) => {
  const chunks: Buffer[] = [];
  incoming.on("data", (chunk) => chunks.push(chunk));
  incoming.on("end", () => {
    const body = Buffer.concat(chunks).toString();
    const id = `chatcmpl-${incoming.headers["x-request-id"] ?? "none"}`;
    if (incoming.url === "/load") {
      const load = {
        incarnation: "1",
        running_requests: 0,
        waiting_requests: 0,
        running_tokens: 0,
        leaving: false,
      };
      return outgoing.end(JSON.stringify(load));
    }
    if (body.includes('"stream":true')) {
      outgoing.setHeader("content-type", "text/event-stream");
      return outgoing.end(formatStream(id));
    }
    const message = { role: "assistant", content: "hello" };
    outgoing.setHeader("content-type", "application/json");
    outgoing.end(JSON.stringify({
      id,
      object: "chat.completion",
      choices: [{ index: 0, message, finish_reason: "stop" }],
    }));
  });
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  console.log(JSON.stringify({ event: "ready", port }));
});
