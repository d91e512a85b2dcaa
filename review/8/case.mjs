/**
 * A daemon is killed while it passes on streams that workers delimit by the end
 * of their connections.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  answerHead,
  Client,
  HAS_TROUBLE,
  newId,
  requestText,
  route,
  run,
  smallConfig,
  Worker,
} from "../lib-2/harness.mjs";

const EVENTS = 20;
const EVENT_PERIOD_MS = 100;
const KILL_AFTER_MS = 900;
const STREAMS = 6;

function eventText(number) {
  return `id: ${number}\ndata: token ${number}\n\n`;
}

/** Writes events as a model worker does, and ends the connection after them. */
async function stream(recording, request, socket, worker) {
  recording.add(worker.id, "runs", request.id);
  socket.write(answerHead(request, worker, [
    "Content-Type: text/event-stream",
    "Connection: close",
  ]));
  for (let number = 1; number <= EVENTS; number++) {
    await sleep(EVENT_PERIOD_MS);
    if (socket.destroyed) {
      recording.add(worker.id, "was cut off at event", number, request.id);
      return;
    }
    socket.write(eventText(number));
  }
  socket.end();
  recording.add(worker.id, "has sent all of", request.id);
}

await run(dirname(fileURLToPath(import.meta.url)), async (fleet, recording) => {
  const handle = (request, socket, worker) =>
    void stream(recording, request, socket, worker);
  await fleet.start({
    daemons: 2,
    workers: ["m-1", "m-2"].map((id) =>
      new Worker(id, "models", "z-a", handle)
    ),
    config: smallConfig([
      route("chat", "streaming", "models", { timeout_ms: 12_000 }),
    ]),
  });
  const [killed] = fleet.daemons;
  const clients = [];
  for (let index = 0; index < STREAMS; index++) {
    const client = new Client(killed);
    await client.opened;
    const id = newId();
    recording.add("client sends", id, "to", killed.name);
    client.send(requestText("/chat/1", {
      method: "POST",
      id,
      deadlineMs: 12_000,
      lines: [
        "X-Model: m",
        "X-Token-Usage: 100,140",
        `X-Prompt-Prefix: a${index}:60,b${index}:40`,
      ],
    }));
    clients.push({ id, client });
  }
  await sleep(KILL_AFTER_MS);
  if (HAS_TROUBLE) {
    recording.add(killed.name, "gets SIGKILL");
    killed.process.kill("SIGKILL");
  }
  let endedEarly = 0;
  for (const { id, client } of clients) {
    const end = await client.closed;
    const [head, ...rest] = client.received.split("\r\n\r\n");
    const body = rest.join("\r\n\r\n");
    const events = (body.match(/^id: \d+$/gm) ?? []).length;
    const isFramed = /^(content-length|transfer-encoding):/im.test(head);
    // What a client of HTTP/1.1 takes for a complete answer (RFC 9112, 6.3).
    const looksComplete = isFramed
      ? body.endsWith("0\r\n\r\n")
      : end === "end" && (body === "" || body.endsWith("\n\n"));
    recording.add(
      `client of ${id}:`,
      head.split("\r\n")[0] || "no answer",
      `framed: ${isFramed}, ${events} of ${EVENTS} events, end: ${end},`,
      `looks complete: ${looksComplete}`,
    );
    if (looksComplete && events > 0 && events < EVENTS) endedEarly += 1;
    if (!HAS_TROUBLE && events < EVENTS) throw new Error("a stream was cut");
  }
  return endedEarly > 0 &&
    `ORDER, MIXED: ${endedEarly} streams end as complete before their last piece`;
});
