/**
 * Runs both parts of the demo in order: the example deployments of the fleet
 * against stand-in targets, then two daemons against stand-ins of the users'
 * platform.
 */
import { spawnSync } from "node:child_process";

const DEMO_COMMANDS = [
  ["packages/bench/dist/demo/main.js", ...process.argv.slice(2)],
  ["platform/dist/testing/demo_act.js"],
];

for (const scriptArgs of DEMO_COMMANDS) {
  const { status } = spawnSync(process.execPath, scriptArgs, {
    stdio: "inherit",
  });
  if (status !== 0) process.exit(status ?? 1);
}
