import { randomUUID } from "node:crypto";
import { SystemTimerService } from "@coltsfootford/key-value";
import { EXIT_CODES } from "./cli_error.ts";
import { runCli } from "./run_cli.ts";

/** The entry point of `coltsfoot`. Never prints a stack trace. */
try {
  process.exitCode = await runCli(process.argv.slice(2), {
    timer: new SystemTimerService(),
    random: Math.random,
    createNonce: randomUUID,
    printLine: (line) => process.stdout.write(`${line}\n`),
    printErrorLine: (line) => process.stderr.write(`${line}\n`),
  });
} catch (error) {
  const reason = error instanceof Error ? error.message : String(error);
  process.stderr.write(
    `coltsfoot: internal error: ${reason}; please report this bug\n`,
  );
  process.exitCode = EXIT_CODES["internal-fault"];
}
