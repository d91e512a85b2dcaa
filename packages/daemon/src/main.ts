#!/usr/bin/env node
import { parseArgs } from "node:util";
import { formatStepError } from "@coltsfootford/core";
import { startDaemon } from "./daemon.ts";
import { loadSettings } from "./settings/index.ts";

const EXIT_OK = 0;
const EXIT_CUT = 1;
const EXIT_USAGE = 2;

const HELP = `coltsfootd: routes chats and service calls to targets

Usage:
  coltsfootd --settings FILE          run until SIGTERM
  coltsfootd --settings FILE --check  check the settings and exit

Options:
  --settings FILE  settings in JSON; see docs/reference/settings.md
  --check          only check the settings
  --help           show this text

SIGTERM ends gracefully: running requests are finished first. A second signal
ends at once and logs what it cuts.
Exit codes: 0 ended well, 1 requests were cut, 2 bad settings or arguments.
`;

/** Runs the daemon until it receives a signal; returns the exit code. */
async function main(): Promise<number> {
  const options = readOptions();
  if (!options) return EXIT_USAGE;
  if (options.help) {
    process.stdout.write(HELP);
    return EXIT_OK;
  }
  if (options.settings === undefined) {
    return fail("option --settings is missing; specify the settings file");
  }
  const settings = loadSettings(options.settings);
  if (settings.isErr()) return fail(formatStepError(settings.error));
  if (options.check) {
    process.stdout.write(`${options.settings}: settings are valid\n`);
    return EXIT_OK;
  }
  const daemon = await startDaemon(settings.value);
  if (daemon.isErr()) return fail(formatStepError(daemon.error));
  process.once("exit", () => daemon.value.resetTruncated());
  await waitForSignal();
  onNextSignal(() => {
    daemon.value.logCutRequests();
    void daemon.value.closeConnections().then(() => process.exit(EXIT_CUT));
  });
  const cutRequests = await daemon.value.stop();
  return cutRequests === 0 ? EXIT_OK : EXIT_CUT;
}

function readOptions() {
  try {
    return parseArgs({
      options: {
        settings: { type: "string" },
        check: { type: "boolean", default: false },
        help: { type: "boolean", default: false },
      },
    }).values;
  } catch (cause) {
    fail((cause as Error).message);
    return undefined;
  }
}

function fail(message: string): number {
  process.stderr.write(`coltsfootd: ${message}\n`);
  return EXIT_USAGE;
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => onNextSignal(resolve));
}

function onNextSignal(action: () => void): void {
  const onSignal = () => {
    process.off("SIGTERM", onSignal);
    process.off("SIGINT", onSignal);
    action();
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}

process.exit(await main());
