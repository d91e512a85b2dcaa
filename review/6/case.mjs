/**
 * A daemon freezes while clients send the heads of their requests, and wakes
 * after the time that the limits give a head. What it answers is compared with
 * what the workers ran.
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

const EVENTS = 6;
const EVENT_PERIOD_MS = 60;
/** The limits of the site: header_timeout_ms, idle_timeout_ms. */
const HEADER_TIMEOUT_MS = 3000;
const IDLE_TIMEOUT_MS = 15_000;
/** When a client has sent the first line of its head, and the rest. */
const FREEZE_AT_MS = 300;
const HEAD_SENT_AT_MS = 600;
/** The site's longest freeze takes 4 s. */
const FREEZE_MS = 3100;
/** Clients leave after two seconds, 4 x slo_ms or 8 x gap_slo_ms. */
const CLIENT_LEAVES_AFTER_MS = 3200;
const CLIENTS = 12;
const PROMISES = new Set([408, 421, 429, 503]);

async function answer(recording, runs, request, socket, worker) {
  const question = request.path.split("/").at(-1);
  recording.add(worker.id, "runs", request.id, "question", question);
  runs.push({ id: request.id, question });
  socket.write(answerHead(request, worker, [
    "Content-Type: text/event-stream",
    "Transfer-Encoding: chunked",
  ]));
  for (let number = 1; number <= EVENTS; number++) {
    await sleep(EVENT_PERIOD_MS);
    if (socket.destroyed) return;
    const text = `id: ${number}\ndata: token ${number}\n\n`;
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  }
  socket.write("0\r\n\r\n");
}

const statusOf = (client) =>
  Number(/^HTTP\/1\.1 (\d+)/.exec(client.received)?.[1] ?? 0);

/** Waits for the answer as long as a client does. */
async function waitForAnswer(client, sentAt) {
  const isOver = () =>
    client.received.endsWith("\r\n0\r\n\r\n") || client.end !== undefined ||
    (client.received === "" &&
      performance.now() - sentAt > CLIENT_LEAVES_AFTER_MS);
  while (!isOver()) await sleep(5);
  return statusOf(client);
}

await run(dirname(fileURLToPath(import.meta.url)), async (fleet, recording) => {
  const runs = [];
  const handle = (request, socket, worker) =>
    void answer(recording, runs, request, socket, worker);
  const config = smallConfig([
    // As the site's installer-chat: not resumable, one attempt.
    route("chat", "streaming", "models", {
      timeout_ms: 12_000,
      slo_ms: 400,
      max_attempts: 1,
    }),
  ]);
  config.limits.header_timeout_ms = HEADER_TIMEOUT_MS;
  config.limits.idle_timeout_ms = IDLE_TIMEOUT_MS;
  await fleet.start({
    daemons: 2,
    workers: ["m-1", "m-2"].map((id) =>
      new Worker(id, "models", "z-a", handle)
    ),
    config,
  });
  const [frozen, other] = fleet.daemons;
  const results = [];
  const ask = async (question) => {
    const startedAt = performance.now();
    const client = new Client(frozen);
    await client.opened;
    const id = newId();
    const text = requestText(`/chat/${question}`, {
      method: "POST",
      id,
      deadlineMs: 12_000,
      lines: [
        "X-Model: m",
        "X-Token-Usage: 100,42",
        `X-Prompt-Prefix: a${question}:60,b${question}:40`,
      ],
    });
    const firstLine = text.indexOf("\r\n") + 2;
    client.send(text.slice(0, firstLine));
    await sleep(HEAD_SENT_AT_MS - (performance.now() - startedAt));
    client.send(text.slice(firstLine));
    recording.add("client has sent", id, "question", question);
    const status = await waitForAnswer(client, performance.now());
    recording.add("client gets", status || "no answer", "for", id);
    results.push({ id, status });
    client.socket.destroy();
    if (!PROMISES.has(status)) return;
    // "They retry unsafe requests only after a promise", on a new connection.
    const second = new Client(other);
    await second.opened;
    const again = newId();
    recording.add("client asks again, as promised not to run twice:", again);
    second.send(text.replace(id, again));
    const secondStatus = await waitForAnswer(second, performance.now());
    recording.add("client gets", secondStatus || "no answer", "for", again);
    results.push({ id: again, status: secondStatus });
    second.socket.destroy();
  };
  const asked = [];
  for (let index = 1; index <= CLIENTS; index++) asked.push(ask(`q${index}`));
  await sleep(FREEZE_AT_MS);
  if (HAS_TROUBLE) {
    recording.add(frozen.name, "freezes (SIGSTOP)");
    frozen.process.kill("SIGSTOP");
    await sleep(FREEZE_MS);
    recording.add(frozen.name, "wakes (SIGCONT)");
    frozen.process.kill("SIGCONT");
  }
  await Promise.all(asked);
  await sleep(1000);
  const ran = new Set(runs.map(({ id }) => id));
  const refused = results.filter(({ id, status }) =>
    PROMISES.has(status) && ran.has(id)
  );
  const counts = new Map();
  for (const { question } of runs) {
    counts.set(question, (counts.get(question) ?? 0) + 1);
  }
  const twice = [...counts.values()].filter((count) => count > 1).length;
  return refused.length > 0 &&
    `REFUSED: ${refused.length} requests were answered 408 and have run; ` +
      `${twice} questions ran twice, since their clients kept to the promise`;
});
