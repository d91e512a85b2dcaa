/** A client of the daemons: one attempt a call, on a kept connection. */
import { Agent, request } from "node:http";
import { HOST } from "./net.mjs";
import { log } from "./record.mjs";

let next = 1;

/** A request id as clients draw it: one for each attempt. */
export function drawId() {
  const random = Math.floor(Math.random() * 2 ** 32).toString(16);
  return `${random.padStart(8, "0")}${(next++).toString(16).padStart(8, "0")}`;
}

export function createConnection() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

function describe({ status, error = "" }) {
  if (status > 0) return `status ${status}`;
  if (status < 0) return "by nothing until its deadline";
  return `by the end of the connection ${error}`;
}

/**
 * Sends one request. Resolves with the status and the body, or with status 0
 * where the connection ended without a complete answer.
 */
export function send(port, { agent, id = drawId(), ...exchange }) {
  const { method = "GET", path, host, key, body, headers = {} } = exchange;
  const deadlineMs = exchange.deadlineMs ?? 1_500;
  const sentAtMs = performance.now();
  log(`sent ${id} ${method} ${path} to port ${port}`);
  return new Promise((resolve) => {
    let isOver = false;
    const finish = (result) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      log(`answered ${id} ${describe(result)}`);
      resolve({ id, sentAtMs, endedAtMs: performance.now(), ...result });
    };
    const outgoing = request({
      host: HOST,
      port,
      method,
      path,
      agent,
      setHost: false,
      headers: {
        Host: host,
        "X-Request-Id": id,
        "X-Deadline-Ms": String(deadlineMs),
        ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { "Content-Length": body.length }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => finish({ status: 0, body: "" }));
      response.on("end", () =>
        finish({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }));
    });
    const timer = setTimeout(() => {
      finish({ status: -1, body: "gave up" });
      outgoing.destroy();
    }, deadlineMs + 1_000);
    outgoing.on(
      "error",
      (error) => finish({ status: 0, body: "", error: error.code }),
    );
    outgoing.end(body);
  });
}
