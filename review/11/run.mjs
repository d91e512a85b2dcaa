// UNASKED: requests with many short header lines, within `max_header_bytes`.
import { HAS_TROUBLE, runCase } from "../lib-3/fleet.mjs";
import {
  KEY,
  operatorConfig,
  send,
  SITE_HOST,
  TENANT,
} from "../lib-3/client.mjs";
import { Store } from "../lib-3/store.mjs";
import { Worker } from "../lib-3/worker.mjs";

const MAX_HEADER_BYTES = 16_384;
/** Header lines that each client adds; the two counts are alike otherwise. */
const MORE_LINES = HAS_TROUBLE ? 1_100 : 500;
const REQUESTS_OF_EACH_KIND = 10;
const PREFIX = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";

/** The size of header lines with their names, values and separators. */
function headerBytes(lines) {
  return lines.reduce((sum, line) => sum + line.length + 2, 0);
}

function requestLines(id, more) {
  const lines = [
    `Host: ${SITE_HOST}`,
    `X-Request-Id: ${id}`,
    "X-Deadline-Ms: 1500",
    `Authorization: Bearer ${KEY}`,
  ];
  for (let index = 0; index < MORE_LINES; index++) {
    lines.push(`n${index.toString(36)}: ${index % 10}`);
  }
  lines.push(...more);
  if (headerBytes(lines) > MAX_HEADER_BYTES) throw new Error("too large");
  return lines;
}

const KINDS = {
  // A booking whose body has a length.
  "/book/": (id, body) => [
    ...requestLines(id, [`Content-Length: ${body.length}`]),
    "",
    body,
  ],
  // A booking whose body comes in one chunk.
  "/book/chunked/": (id, body) => [
    ...requestLines(id, ["Transfer-Encoding: chunked"]),
    "",
    body.length.toString(16),
    body,
    "0",
    "",
    "",
  ],
  // A chat with its prompt's parts.
  "/chat/": (id, body) => [
    ...requestLines(id, [
      `Content-Length: ${body.length}`,
      "X-Model: m",
      "X-Token-Usage: 1460,80",
      `X-Prompt-Prefix: ${PREFIX}`,
    ]),
    "",
    body,
  ],
};

await runCase(import.meta.dirname, async (one) => {
  const store = one.add(await Store.start());
  const sent = new Map();
  const breaks = [];
  const limits = { max_header_bytes: MAX_HEADER_BYTES };
  const routes = [
    { name: "book", prefix: "/book/", kind: "unsafe", service: "desk" },
    { name: "chat", prefix: "/chat/", kind: "streaming", service: "pool" },
  ];
  const services = [{ name: "desk" }, { name: "pool" }];
  store.write("op/config", operatorConfig(7, services, routes, limits));
  for (const { name } of services) {
    const worker = one.add(await Worker.start(`i-${name}`, name));
    store.write(`servers/${worker.id}`, worker.entry());
    worker.onRequest = (request, reply) => {
      const { path, body } = sent.get(request.id);
      const got = request.headers.get("x-prompt-prefix");
      one.note(
        `${worker.id} runs ${request.id}: ${request.headerCount} header lines, ` +
          `${request.body.length} of ${body.length} bytes of body` +
          (path === "/chat/" ? `, X-Prompt-Prefix ${got}` : ""),
      );
      if (request.body !== body) {
        breaks.push(
          `${request.id} runs with ${request.body.length} bytes of body, ` +
            `the client sent ${body.length}`,
        );
      }
      if (path === "/chat/" && got !== PREFIX) {
        breaks.push(`${request.id} runs with X-Prompt-Prefix ${got}`);
      }
      if (request.headers.get("x-tenant") !== TENANT) {
        breaks.push(`${request.id} runs for another tenant`);
      }
      const isChat = path === "/chat/";
      const type = isChat ? ["Content-Type: text/event-stream"] : [];
      reply.send(200, type, isChat ? "id: 1\ndata: done\n\n" : "done");
    };
  }
  await one.startDaemon("front-1", store.port);
  await one.untilReady();
  const [{ front }] = one.daemons;
  for (let index = 0; index < REQUESTS_OF_EACH_KIND; index++) {
    for (const [path, write] of Object.entries(KINDS)) {
      const id = `q${path.replaceAll("/", "-")}${index}`;
      const body = `{"bin":${index},"deposit":100}`;
      sent.set(id, { path, body });
      const lines = [`POST ${path}${index} HTTP/1.1`, ...write(id, body)];
      const answer = await send(front, lines.join("\r\n"));
      one.note(
        `${id}, sent with ${lines.indexOf("") - 1} header lines and ` +
          `${body.length} bytes of body, is answered ${answer.status}`,
      );
    }
  }
  return breaks;
});
