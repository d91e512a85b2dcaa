import { fileURLToPath } from "node:url";
import { ManagedProcess } from "./managed_process.ts";

const CLI_SCRIPT = fileURLToPath(
  new URL("../../../cli/dist/main.js", import.meta.url),
);

/** What a run of the command line gave. */
export interface CliRun {
  readonly exitCode: number | null;
  readonly output: string;
}

/** Where the command line finds the platform and the daemons. */
export interface OperatorAddresses {
  readonly platformUrl: string;
  readonly adminUrls: readonly string[];
}

/** Runs `coltsfoot` as an operator does. */
export async function runCli(
  addresses: OperatorAddresses,
  args: readonly string[],
): Promise<CliRun> {
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
