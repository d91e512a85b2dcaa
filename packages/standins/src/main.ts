/** Command that starts the stand-ins of a settings file in one process. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { z, ZodError } from "zod";
import { type ProcessSettings, StandInProcess } from "./control/index.ts";

const USAGE = "usage: main.js --settings FILE";
const EXIT_BAD_SETTINGS = 2;

function readSettings(): ProcessSettings {
  const { values } = parseArgs({ options: { settings: { type: "string" } } });
  if (values.settings === undefined) throw new Error(USAGE);
  return JSON.parse(readFileSync(values.settings, "utf8"));
}

function describeError(error: unknown): string {
  if (error instanceof ZodError) return z.prettifyError(error);
  return error instanceof Error ? error.message : String(error);
}

try {
  const running = await StandInProcess.start(readSettings());
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(
      signal,
      () => void running.close().then(() => process.exit(0)),
    );
  }
  console.log(JSON.stringify(running.readyEvent));
} catch (error) {
  console.error(describeError(error));
  process.exit(EXIT_BAD_SETTINGS);
}
