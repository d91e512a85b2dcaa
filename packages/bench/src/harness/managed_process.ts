import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { waitUntil } from "./wait_until.ts";

const KEPT_OUTPUT_LINES = 200;

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** One line of JSON that a process printed. */
export type JsonLine = Readonly<Record<string, unknown>>;

const running = new Set<ManagedProcess>();

/** A process of the harness: its output, its end and signals to it. */
export class ManagedProcess {
  readonly name: string;
  readonly exit: Promise<ProcessExit>;
  readonly #child: ChildProcess;
  readonly #lines: JsonLine[] = [];
  readonly #output: string[] = [];
  #hasExited = false;

  private constructor(name: string, child: ChildProcess) {
    this.name = name;
    this.#child = child;
    this.exit = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        this.#hasExited = true;
        running.delete(this);
        resolve({ code, signal });
      });
    });
    if (child.stdout) {
      createInterface({ input: child.stdout }).on(
        "line",
        (line) => this.#keep(line),
      );
    }
    if (child.stderr) {
      createInterface({ input: child.stderr }).on(
        "line",
        (line) => this.#keep(line),
      );
    }
  }

  /** Starts a Node script. */
  static start(
    name: string,
    script: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ): ManagedProcess {
    const child = spawn(process.execPath, [script, ...args], {
      env: { ...process.env, ...env },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const managed = new ManagedProcess(name, child);
    running.add(managed);
    return managed;
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get hasExited(): boolean {
    return this.#hasExited;
  }

  /** The last lines of both outputs. */
  get output(): string {
    return this.#output.join("\n");
  }

  /** Waits for a printed JSON line that `matches`. */
  waitForLine(
    what: string,
    matches: (line: JsonLine) => boolean,
  ): Promise<JsonLine> {
    return waitUntil(`${what} of ${this.name}`, () => {
      const found = this.#lines.find(matches);
      if (found || !this.#hasExited) return found;
      throw new Error(`${this.name} ended early:\n${this.output}`);
    });
  }

  /** SIGKILL: the process ends with no chance to tidy up. */
  kill(): Promise<ProcessExit> {
    return this.#signalAndWait("SIGKILL");
  }

  /** SIGTERM: the process ends gracefully. */
  terminate(): Promise<ProcessExit> {
    return this.#signalAndWait("SIGTERM");
  }

  /** SIGHUP: the process looks at its settings again. */
  hangUp(): void {
    this.#child.kill("SIGHUP");
  }

  /** SIGSTOP: the process stands still until `resume`. */
  pause(): void {
    this.#child.kill("SIGSTOP");
  }

  /** SIGCONT: a paused process goes on. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  #signalAndWait(signal: NodeJS.Signals): Promise<ProcessExit> {
    if (!this.#hasExited) this.#child.kill(signal);
    return this.exit;
  }

  #keep(line: string): void {
    this.#output.push(line);
    if (this.#output.length > KEPT_OUTPUT_LINES) this.#output.shift();
    if (!line.startsWith("{")) return;
    try {
      this.#lines.push(JSON.parse(line) as JsonLine);
    } catch {
      // A line that only looks like JSON is kept as output alone.
    }
    if (this.#lines.length > KEPT_OUTPUT_LINES) this.#lines.shift();
  }
}

/** Kills every process that the harness has started and that still runs. */
export async function killAllProcesses(): Promise<void> {
  await Promise.all([...running].map((managed) => managed.kill()));
}

process.once("exit", () => {
  for (const managed of running) void managed.kill();
});
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => {
    void killAllProcesses().then(() => process.exit(1));
  });
}
