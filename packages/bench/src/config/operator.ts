import { spawn } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { EXIT_CODES } from "@coltsfootford/cli";
import type { ObjectInput } from "../harness/index.ts";

const CLI_SCRIPT = fileURLToPath(
  new URL("../../../cli/dist/main.js", import.meta.url),
);
const DIRECTORY_PREFIX = "coltsfoot-operator-";

/** What one run of the tool gave. */
export interface CliRun {
  readonly exitCode: number;
  /** What `--json` printed. */
  readonly json: CliJson;
  readonly errorText: string;
}

/** The printed fields that tests look at. */
export interface CliJson {
  readonly revision?: number;
  readonly nonce?: string;
  readonly wasReadBack?: boolean;
  readonly inForceAfterMs?: number;
  readonly error?: {
    readonly kind: keyof typeof EXIT_CODES;
    readonly details: readonly string[];
  };
}

/** Where an operator's tool finds the fleet. */
export interface OperatorSettings {
  readonly operator: string;
  readonly platform: readonly string[];
  readonly daemons: readonly string[];
}

/** An operator with a directory of object files, who runs the tool. */
export class Operator {
  readonly #directory = mkdtempSync(join(tmpdir(), DIRECTORY_PREFIX));

  constructor(settings: OperatorSettings) {
    mkdirSync(join(this.#directory, "objects"));
    this.configure(settings);
  }

  /** Replaces the settings of the tool. */
  configure(settings: OperatorSettings): void {
    const file = join(this.#directory, "coltsfoot.json");
    writeFileSync(file, JSON.stringify(settings));
  }

  /** Replaces a file of objects. */
  writeObjects(name: string, objects: readonly ObjectInput[]): void {
    const file = join(this.#directory, "objects", `${name}.json`);
    writeFileSync(file, JSON.stringify(objects));
  }

  /** Takes over the objects of another, with what they are based on. */
  copyObjectsFrom(other: Operator): void {
    const source = join(other.#directory, "objects");
    cpSync(source, join(this.#directory, "objects"), { recursive: true });
  }

  /** Runs the tool with `--json` as a process of its own. */
  run(...args: string[]): Promise<CliRun> {
    const child = spawn(process.execPath, [CLI_SCRIPT, ...args, "--json"], {
      cwd: this.#directory,
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    let errorText = "";
    child.stdout.on("data", (chunk) => output += String(chunk));
    child.stderr.on("data", (chunk) => errorText += String(chunk));
    return new Promise((resolve) => {
      child.once("close", (code) => {
        const json = output === "" ? {} : JSON.parse(output) as CliJson;
        resolve({ exitCode: code ?? -1, json, errorText });
      });
    });
  }

  remove(): void {
    rmSync(this.#directory, { recursive: true, force: true });
  }
}
