// A client that writes raw HTTP/1.1 and reads one response.
import { connect } from "node:net";
import { HOST } from "./fleet.mjs";
import { parseMessage } from "./worker.mjs";

export const SITE_HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const TENANT = "hule930";

/** The newest configuration of the operator for these services and routes. */
export function operatorConfig(version, services, routes, limits = {}) {
  return {
    version,
    routes: routes.map((route) => ({
      host: SITE_HOST,
      timeout_ms: 1_500,
      slo_ms: 141,
      priority: 1,
      max_attempts: 1,
      public: false,
      ...route,
    })),
    services: services.map((service) => ({
      health_path: "/health",
      max_conns: 96,
      protocol: "h1",
      tls: false,
      ...service,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      ...limits,
    },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1 }],
  };
}

/** The text of a request; `lines` come after those that each client sends. */
export function requestText(
  { method = "POST", path, id, lines = [], body = "", deadlineMs = 1_500 },
) {
  const framing = body === "" ? [] : [`Content-Length: ${body.length}`];
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${SITE_HOST}`,
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    `Authorization: Bearer ${KEY}`,
    ...lines,
    ...framing,
    "",
    "",
  ].join("\r\n") + body;
}

/** Sends a request on a new connection; resolves with what came back. */
export function send(port, text, timeoutMs = 5_000) {
  return new Promise((resolve) => {
    const socket = connect({ host: HOST, port });
    let received = "";
    const finish = (end) => {
      clearTimeout(timer);
      const message = parseMessage(received);
      const status = Number(received.split(" ", 2)[1] ?? 0);
      resolve({ end, status, received, ...message });
      socket.destroy();
    };
    const timer = setTimeout(() => finish("timeout"), timeoutMs);
    socket.on("connect", () => socket.write(text, "latin1"));
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      const isChunked = /^transfer-encoding: *chunked/im.test(received);
      if (isChunked ? received.endsWith("0\r\n\r\n") : parseMessage(received)) {
        finish("answer");
      }
    });
    socket.on("end", () => finish("closed"));
    socket.on("error", () => finish("reset"));
  });
}
