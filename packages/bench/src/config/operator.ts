import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { CliErrorKind } from "@coltsfootford/cli";
import type { Fleet, ObjectInput } from "../harness/index.ts";

const DIRECTORY_PREFIX = "coltsfoot-operator-";

/** The result of one execution of the command-line tool. */
export interface CommandResult {
  readonly exitCode: number | null;
  /** The parsed output of `--json`. */
  readonly json: CommandOutput;
}

/** The output fields that the tests check. */
export interface CommandOutput {
  readonly revision?: number;
  readonly nonce?: string;
  readonly wasReadBack?: boolean;
  readonly error?: {
    readonly kind: CliErrorKind;
    readonly details: readonly string[];
  };
}

/** An operator with a settings file and a directory of object files. */
export class Operator {
  readonly #fleet: Fleet;
  readonly #directory = mkdtempSync(join(tmpdir(), DIRECTORY_PREFIX));

  constructor(fleet: Fleet, operator: string) {
    this.#fleet = fleet;
    mkdirSync(this.#objects);
    const settings = { operator, objects: this.#objects };
    writeFileSync(this.#settings, JSON.stringify(settings));
  }

  /** Replaces a file of objects. */
  writeObjects(name: string, objects: readonly ObjectInput[]): void {
    const file = join(this.#objects, `${name}.json`);
    writeFileSync(file, JSON.stringify(objects));
  }

  /** Copies the object files of another operator and their base revision. */
  copyObjectsFrom(other: Operator): void {
    cpSync(other.#objects, this.#objects, { recursive: true });
  }

  /** Runs the command-line tool with `--json` in a separate process. */
  async runCommand(...args: string[]): Promise<CommandResult> {
    const { exitCode, output } = await this.#fleet.runCli([
      ...args,
      "--settings",
      this.#settings,
      "--json",
    ]);
    return { exitCode, json: JSON.parse(output) as CommandOutput };
  }

  /** Returns the path of a file or directory of this operator. */
  pathOf(name: string): string {
    return join(this.#directory, name);
  }

  remove(): void {
    rmSync(this.#directory, { recursive: true, force: true });
  }

  get #objects(): string {
    return join(this.#directory, "objects");
  }

  get #settings(): string {
    return join(this.#directory, "coltsfoot.json");
  }
}
