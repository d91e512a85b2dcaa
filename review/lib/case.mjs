/** Runs a case: its record, its temporary folder, and the end of its processes. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { lines, log } from "./record.mjs";

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const LIMIT_MS = 115_000;

/** Whether the case runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}

/**
 * Runs `play`, which resolves with whether the rule held. Then ends the
 * processes that `play` has put into `running`, writes the record beside the
 * case's module, and exits with 0 (held), 1 (broken) or 2 (could not run).
 */
export function runCase(moduleUrl, play) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const running = [];
  const end = (status, text) => {
    log(text);
    for (const daemon of running) daemon.kill();
    const record = fileURLToPath(new URL("record.txt", moduleUrl));
    writeFileSync(record, lines.join("\n") + "\n");
    rmSync(folder, { recursive: true, force: true });
    console.log(lines.slice(-5).join("\n"));
    process.exit(status);
  };
  const fail = (error) => end(NOT_RUN, `could not run: ${error.stack}`);
  process.on("uncaughtException", fail);
  process.on("unhandledRejection", fail);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => end(NOT_RUN, `ended by ${signal}`));
  }
  setTimeout(() => end(NOT_RUN, "took too long"), LIMIT_MS);
  log(HAS_TROUBLE ? "with the disruption" : "without the disruption");
  play({ folder, running }).then(
    (held) =>
      held ? end(HELD, "the rule held") : end(BROKEN, "the rule was broken"),
    fail,
  );
}
