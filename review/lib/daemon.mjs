/** Starts the project's daemon with the command of the deploy file. */
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts, HOST } from "./net.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const START_TIMEOUT_MS = 20_000;
const MAX_OUTPUT = 20_000;

/** The bounds of the sheet of bsf-sede. */
const BOUNDS = `[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
cap_x = 2
`;

function readCommand() {
  const deployFile = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
}

export class Daemon {
  /** The end of the log, and what was written to standard error. */
  output = "";
  errors = "";
  exit = undefined;
  #folder;
  #settings;

  /** `seeds`: the control addresses of the first daemons. */
  constructor(name, zone, folder, storePort, ports, seeds) {
    this.name = name;
    [this.front, this.ready, this.control] = ports;
    this.#folder = folder;
    this.#settings = `node = "${name}"
role = "router"
machine_class = "front"
serves = ["front","control"]
ip = "${HOST}"
zone = "${zone}"
region = "ar-centro"
port_range = [7340,7355]
seeds = [${seeds.map((port) => `"${HOST}:${port}"`).join(",")}]
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]

[zones]
${zone} = "ar-centro"

[listen]
front = "${HOST}:${this.front}"
ready = "${HOST}:${this.ready}"
control = "${HOST}:${this.control}"

[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 1
regions = 0

${BOUNDS}
[provider]
address = "${HOST}:${storePort}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`;
  }

  /** `machines` have a name and a zone; `doors` are their ports of the store. */
  static async allocate(machines, folder, doors) {
    const ports = await findFreePorts(machines.length * 3);
    const seeds = machines.map((_, index) => ports[index * 3 + 2]).slice(0, 3);
    return machines.map(({ name, zone }, index) =>
      new Daemon(
        name,
        zone,
        folder,
        doors[index].port,
        ports.slice(index * 3, index * 3 + 3),
        seeds,
      )
    );
  }

  start() {
    const path = join(this.#folder, `${this.name}.toml`);
    writeFileSync(path, this.#settings);
    const [program, ...options] = readCommand();
    const env = { COLTSFOOTFORD_NODE_FILE: path };
    for (const name of ["PATH", "HOME", "LANG"]) {
      if (process.env[name] !== undefined) env[name] = process.env[name];
    }
    this.exit = undefined;
    this.process = spawn(program, options, { cwd: ROOT, env });
    this.process.stdout.on("data", (bytes) => {
      this.output = (this.output + bytes).slice(-MAX_OUTPUT);
    });
    this.process.stderr.on("data", (bytes) => {
      this.errors = (this.errors + bytes).slice(-MAX_OUTPUT);
    });
    this.process.on("exit", (code, signal) => {
      this.exit = { code, signal };
      this.onExit?.(code, signal);
    });
  }

  async waitUntilReady() {
    const untilMs = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < untilMs) {
      if (this.exit) break;
      if (await this.isReady()) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`${this.name} was not ready:\n${this.errors}`);
  }

  async isReady() {
    try {
      const url = `http://${HOST}:${this.ready}/v1/readiness`;
      return (await fetch(url)).status === 200;
    } catch {
      return false;
    }
  }

  kill(signal = "SIGKILL") {
    if (!this.exit) this.process?.kill(signal);
  }
}
