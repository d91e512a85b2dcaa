// MIXED: a late second answer follows an answer that was cut inside its head.
import { setTimeout as sleep } from "node:timers/promises";
import { HAS_TROUBLE, runCase } from "../lib-3/fleet.mjs";
import { operatorConfig, requestText, send } from "../lib-3/client.mjs";
import { Store } from "../lib-3/store.mjs";
import { Worker } from "../lib-3/worker.mjs";

const ROUNDS = 10;
/** Time after which the worker sends its answer to a first request again. */
const AGAIN_MS = 60;
/** Time of the second request after the answer to the first. */
const NEXT_MS = 15;
/** Bytes that are missing at the end of the seal's line. */
const CUT_BYTES = 4;

/** The whole answer to a request, as a sound worker sends it. */
function answerTo(id, worker) {
  const body = `the private answer to ${id}`;
  return [
    "HTTP/1.1 200 OK",
    `X-Request-Id: ${id}`,
    `X-Response-Seal: ${worker.id}.07.5a2.${body.length}.0.c9f2a4d1`,
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

await runCase(import.meta.dirname, async (one) => {
  const store = one.add(await Store.start());
  const routes = [
    { name: "book", prefix: "/book/", kind: "unsafe", service: "desk" },
  ];
  store.write("op/config", operatorConfig(7, [{ name: "desk" }], routes));
  const worker = one.add(await Worker.start("i-1", "desk"));
  store.write("servers/i-1", worker.entry());
  worker.onRequest = (request, reply) => {
    const { id } = request;
    const answer = answerTo(id, worker);
    const isFirst = id.startsWith("first");
    if (isFirst || !HAS_TROUBLE) {
      reply.write(answer);
      one.note(`the worker answers ${id}`);
    } else {
      const sealEnd = answer.indexOf("\r\nContent-Length");
      reply.write(answer.slice(0, sealEnd - CUT_BYTES));
      one.note(`the worker breaks off its answer to ${id} inside the head`);
    }
    if (isFirst && HAS_TROUBLE) {
      setTimeout(() => {
        if (reply.socket.destroyed) return;
        reply.write(answer);
        one.note(`the worker sends its answer to ${id} again`);
      }, AGAIN_MS);
    }
    reply.done();
  };
  await one.startDaemon("front-1", store.port);
  await one.untilReady();
  const [{ front }] = one.daemons;
  const breaks = [];
  for (let round = 0; round < ROUNDS; round++) {
    for (const id of [`first-${round}`, `second-${round}`]) {
      const text = requestText({ path: "/book/1", id, body: `bid of ${id}` });
      const { status, body, headers, end } = await send(front, text);
      one.note(
        `the client of ${id} gets ${status} (${end}), X-Request-Id ` +
          `${headers?.get("x-request-id")}, body ${JSON.stringify(body)}`,
      );
      const isOwn = body === `the private answer to ${id}`;
      if (status === 200 && !isOwn) {
        breaks.push(`${id} is answered 200 with ${JSON.stringify(body)}`);
      }
      await sleep(NEXT_MS);
    }
    await sleep(3 * AGAIN_MS);
  }
  return breaks;
});
