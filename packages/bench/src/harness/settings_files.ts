import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Directories in use; those that remain are removed when the process exits. */
const directories = new Set<string>();

process.once("exit", () => {
  for (const directory of directories) removeDirectory(directory);
});

/** A temporary directory of settings files that is removed with the fleet. */
export class SettingsFiles {
  readonly #directory = mkdtempSync(join(tmpdir(), "coltsfoot-"));

  constructor() {
    directories.add(this.#directory);
  }

  /** Writes settings and returns the path of their file. */
  write(name: string, settings: unknown): string {
    const path = join(this.#directory, `${name}.json`);
    writeFileSync(path, JSON.stringify(settings, null, 2));
    return path;
  }

  /** Writes objects or copies their directory; returns the new directory. */
  writeObjects(objects: readonly unknown[] | string): string {
    const path = join(this.#directory, "objects");
    if (typeof objects === "string") {
      cpSync(objects, path, { recursive: true });
      return path;
    }
    mkdirSync(path, { recursive: true });
    writeFileSync(join(path, "all.json"), JSON.stringify(objects));
    return path;
  }

  remove(): void {
    directories.delete(this.#directory);
    removeDirectory(this.#directory);
  }
}

function removeDirectory(directory: string): void {
  rmSync(directory, { recursive: true, force: true });
}
