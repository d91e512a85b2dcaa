import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { CliErrorKind } from "@coltsfootford/cli";
import type { Fleet, ObjectInput } from "../harness/index.ts";

const DIRECTORY_PREFIX = "coltsfoot-operator-";

/** What one run of the tool gave. */
export interface OperatorRun {
  readonly exitCode: number | null;
  /** What `--json` printed. */
  readonly json: PrintedJson;
}

/** The printed fields that tests look at. */
export interface PrintedJson {
  readonly revision?: number;
  readonly nonce?: string;
  readonly wasReadBack?: boolean;
  readonly error?: {
    readonly kind: CliErrorKind;
    readonly details: readonly string[];
  };
}

/** An operator with a directory of object files, who runs the tool. */
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

  /** Takes over the objects of another, with what they are based on. */
  copyObjectsFrom(other: Operator): void {
    cpSync(other.#objects, this.#objects, { recursive: true });
  }

  /** Runs the tool with `--json` as a process of its own. */
  async run(...args: string[]): Promise<OperatorRun> {
    const { exitCode, output } = await this.#fleet.runCli([
      ...args,
      "--settings",
      this.#settings,
      "--json",
    ]);
    return { exitCode, json: JSON.parse(output) as PrintedJson };
  }

  /** The path of a file or directory of this operator. */
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
