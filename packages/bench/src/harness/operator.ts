import { fileURLToPath } from "node:url";
import { ManagedProcess } from "./managed_process.ts";

const CLI_SCRIPT = fileURLToPath(
  new URL("../../../cli/dist/main.js", import.meta.url),
);

/** Exit code and output of a command-line invocation. */
export interface CliResult {
  readonly exitCode: number | null;
  readonly output: string;
}

/** URLs of the platform and the daemons for the command line. */
export interface OperatorAddresses {
  readonly platformUrl: string;
  readonly adminUrls: readonly string[];
}

/** Runs `coltsfoot` as an operator does. */
export async function runCli(
  addresses: OperatorAddresses,
  args: readonly string[],
): Promise<CliResult> {
  const process = ManagedProcess.start("coltsfoot", CLI_SCRIPT, [
    ...args,
    "--platform",
    addresses.platformUrl,
    ...(addresses.adminUrls.length > 0
      ? ["--daemons", addresses.adminUrls.join(",")]
      : []),
  ]);
  const { code } = await process.exit;
  return { exitCode: code, output: process.output };
}
