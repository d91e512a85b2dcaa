/**
 * Starts daemons with the command of the deploy file, and small stand-ins for
 * workers and clients that follow the users' pages. The store is the project's
 * own stand-in. All addresses are loopback addresses.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { StoreStandIn } from "../../platform/dist/testing/store_stand_in.js";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const HOST = "example.test";
export const KEY = "key-1";
export const TENANT = "tenant-1";
/** The bounds of the small deployments. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 52,
  recovery_s: 12,
  pass_ms: 120,
  reuse_window_s: 10,
  cap_x: 2,
};
const HEARTBEAT_MS = 1200;

/** Whether the script runs with the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Writes what happens to `record.txt`. */
export class Recording {
  #path;
  #startedAt = performance.now();

  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }

  add(...words) {
    const at = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.#path, `${at} s  ${words.join(" ")}\n`);
  }
}

async function isFree(host, port) {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

let nextPort = 12_000 + (process.pid * 97) % 18_000;

async function freePort(host) {
  for (;;) {
    nextPort = nextPort >= 32_000 ? 12_000 : nextPort + 1;
    if (await isFree(host, nextPort)) return nextPort;
  }
}

/** One process of the deploy file's role, with a settings file as on a site. */
export class Daemon {
  constructor(name, host, zone, folder) {
    this.name = name;
    this.host = host;
    this.zone = zone;
    this.path = join(folder, `${name}.toml`);
    this.output = "";
  }

  async plan() {
    this.front = await freePort(this.host);
    this.ready = await freePort(this.host);
    this.control = await freePort(this.host);
  }

  start(storePort, seeds, zones) {
    const lines = [
      `node = "${this.name}"`,
      `role = "router"`,
      `machine_class = "front"`,
      `serves = ["front","control"]`,
      `ip = "${this.host}"`,
      `zone = "${this.zone}"`,
      `region = "r"`,
      `seeds = ${JSON.stringify(seeds)}`,
      `bootstrap = true`,
      `discovery = "platform"`,
      `entry = "vip"`,
      `heartbeat_ms = ${HEARTBEAT_MS}`,
      `contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]`,
      `[zones]`,
      ...[...new Set(zones)].map((zone) => `${zone} = "r"`),
      `[listen]`,
      `front = "${this.host}:${this.front}"`,
      `ready = "${this.host}:${this.ready}"`,
      `control = "${this.host}:${this.control}"`,
      `[limits]`,
      `cpu_share = 0.675`,
      `cores = 1`,
      `memory_mb = 350`,
      `max_fds = 4200`,
      `link_mbps = 1000.0`,
      `disk_mb = 0`,
      `[bounds]`,
      ...Object.entries(BOUNDS).map(([name, value]) => `${name} = ${value}`),
      `[provider]`,
      `address = "127.0.0.1:${storePort}"`,
      `form = "kv"`,
      `writes_per_s = 400`,
      `reads_per_s = 2000`,
      `history_s = 20`,
      `value_bytes = 1048576`,
      `ttl_min_ms = 1000`,
    ];
    writeFileSync(this.path, `${lines.join("\n")}\n`);
    this.launch();
  }

  /** Starts the program with the settings file that is there. */
  launch() {
    const deploy = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
    const [program, ...words] = /run = "([^"]+)"/.exec(deploy)[1].split(" ");
    this.process = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? "/",
        COLTSFOOTFORD_NODE_FILE: this.path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const child = this.process;
    this.exit = new Promise((resolve) =>
      child.once("exit", (code, signal) => resolve(signal ?? code))
    );
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk) => this.output += chunk);
    }
  }

  async isReady() {
    try {
      const url = `http://${this.host}:${this.ready}/v1/readiness`;
      return (await fetch(url)).status === 200;
    } catch {
      return false;
    }
  }

  async dump() {
    return await (await fetch(`http://${this.host}:${this.ready}/dump`)).json();
  }
}

/**
 * A worker. `handle` gets each request that arrived whole, and its socket, and
 * writes the answer.
 */
export class Worker {
  constructor(id, service, zone, handle) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.handle = handle;
    this.born = Date.now();
    this.sequence = 0;
    this.state = "ready";
    this.sockets = new Set();
  }

  async start(host) {
    this.host = host;
    this.server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.port = this.server.address().port;
  }

  registration() {
    this.sequence += 1;
    return {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 1,
      slot_count: 8,
      state: this.state,
      cold_left_ms: 0,
      sequence: this.sequence,
      born: this.born,
    };
  }

  #serve(socket) {
    this.sockets.add(socket);
    socket.on("close", () => this.sockets.delete(socket));
    socket.on("error", () => {});
    readRequests(socket, (request) => this.handle(request, socket, this));
  }

  close() {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** Calls `onRequest` for each request that arrives whole on a connection. */
export function readRequests(socket, onRequest) {
  let received = Buffer.alloc(0);
  socket.on("data", (chunk) => {
    received = Buffer.concat([received, chunk]);
    for (;;) {
      const headEnd = received.indexOf("\r\n\r\n");
      if (headEnd === -1) return;
      const text = received.subarray(0, headEnd).toString("latin1");
      const [line, ...lines] = text.split("\r\n");
      const headers = new Map(lines.map((one) => {
        const at = one.indexOf(":");
        return [one.slice(0, at).toLowerCase(), one.slice(at + 1).trim()];
      }));
      const length = Number(headers.get("content-length") ?? 0);
      if (received.length < headEnd + 4 + length) return;
      const body = received.subarray(headEnd + 4, headEnd + 4 + length);
      received = received.subarray(headEnd + 4 + length);
      const [method, path] = line.split(" ");
      const id = headers.get("x-request-id");
      onRequest({ line, method, path, headers, id, body: body.toString() });
    }
  });
}

/** The head of a worker's answer. */
export function answerHead(request, worker, lines, status = 200) {
  return [
    `HTTP/1.1 ${status} Status`,
    `X-Request-Id: ${request.id}`,
    `X-Response-Seal: ${worker.id}`,
    ...lines,
    "",
    "",
  ].join("\r\n");
}

/** A route with the usual fields. */
export function route(name, kind, service, fields = {}) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: 3000,
    slo_ms: 300,
    priority: 1,
    max_attempts: 2,
    public: false,
    ...(kind === "streaming" && { gap_slo_ms: 400, resumable: false }),
    ...fields,
  };
}

/** A store, workers with their heartbeats, daemons and what they leave. */
export class Fleet {
  daemons = [];
  workers = [];
  folder = mkdtempSync(join(tmpdir(), "review-"));
  #beats = [];

  async start({ daemons, workers, config, zones = ["z-a"], wrapStore }) {
    this.store = await StoreStandIn.start();
    this.store.write("op/config", config);
    this.config = config;
    for (const worker of workers) {
      await worker.start("127.0.0.1");
      this.workers.push(worker);
      this.beat(worker);
    }
    const storePort = wrapStore
      ? await wrapStore(this.store.port)
      : this.store.port;
    for (let index = 0; index < daemons; index++) {
      const zone = zones[index % zones.length];
      const host = `127.0.0.${11 + index}`;
      const daemon = new Daemon(`front-${index + 1}`, host, zone, this.folder);
      await daemon.plan();
      this.daemons.push(daemon);
    }
    const seeds = this.daemons.slice(0, 3)
      .map(({ host, control }) => `${host}:${control}`);
    for (const daemon of this.daemons) daemon.start(storePort, seeds, zones);
    await this.untilReady();
  }

  /** Waits until each daemon is ready and knows all others and all workers. */
  async untilReady() {
    await this.until("daemons that are ready", async () => {
      for (const daemon of this.daemons) {
        if (!await daemon.isReady()) return false;
        const { peers, targets } = await daemon.dump();
        if (peers.length !== this.daemons.length - 1) return false;
        if (targets.length !== this.workers.length) return false;
      }
      return true;
    });
  }

  /** Writes the worker's entry now and at each heartbeat. */
  beat(worker) {
    const write = () => {
      if (worker.isSilent) return;
      this.store.write(`servers/${worker.id}`, worker.registration());
    };
    write();
    this.#beats.push(setInterval(write, HEARTBEAT_MS));
  }

  async until(what, check, limitMs = 20_000) {
    const limitAt = performance.now() + limitMs;
    while (!await check()) {
      if (performance.now() > limitAt) throw new Error(`no ${what} in time`);
      await sleep(50);
    }
  }

  async close() {
    for (const beat of this.#beats) clearInterval(beat);
    for (const { process: child } of this.daemons) {
      if (child && child.exitCode === null && child.signalCode === null) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    for (const worker of this.workers) worker.close();
    await this.store?.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

let requests = 0;

/** A client's request as text. */
export function requestText(
  path,
  { method = "GET", body = "", id, deadlineMs = 3000, lines = [] },
) {
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    `Authorization: Bearer ${KEY}`,
    ...(method === "GET" ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    ...lines,
    "",
    body,
  ].join("\r\n");
}

export function newId() {
  requests += 1;
  return `r${process.pid}x${requests}`;
}

/** One connection of a client. */
export class Client {
  received = "";
  end = undefined;

  constructor(daemon) {
    this.socket = connect({ host: daemon.host, port: daemon.front });
    this.socket.on(
      "data",
      (chunk) => this.received += chunk.toString("latin1"),
    );
    this.closed = new Promise((resolve) => {
      this.socket.on("end", () => this.end ??= "end");
      this.socket.on("error", (error) => this.end ??= error.code);
      this.socket.on("close", () => resolve(this.end ?? "closed"));
    });
    this.opened = new Promise((resolve) => {
      this.socket.once("connect", resolve);
      this.socket.once("close", resolve);
    });
  }

  send(text) {
    this.socket.write(text);
  }
}

/** Runs a script, and exits with its result; 2 where it could not run. */
export async function run(folder, script) {
  const recording = new Recording(folder);
  const fleet = new Fleet();
  let code = 2;
  try {
    const problem = await script(fleet, recording);
    code = problem ? 1 : 0;
    recording.add(problem ? `RULE BROKEN: ${problem}` : "the rule held");
  } catch (cause) {
    recording.add(`the script could not run: ${cause.stack}`);
  } finally {
    await fleet.close();
  }
  process.stdout.write(
    readFileSync(join(folder, "record.txt"), "utf8").split("\n").slice(-6).join(
      "\n",
    ),
  );
  process.exit(code);
}

/** A configuration with the limits of a small deployment. */
export function smallConfig(routes, fields = {}) {
  const names = [...new Set(routes.map(({ service }) => service))];
  return {
    version: 1,
    routes,
    services: names.map((name) => ({
      name,
      max_conns: 360,
      ...(name === "models" && {
        engine: { slot_count: 64, kv_token_bytes: 0, link_mbps: 0 },
      }),
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 2000,
      idle_timeout_ms: 5000,
    },
    tenants: [{ name: TENANT, api_keys: [KEY] }],
    ...fields,
  };
}
