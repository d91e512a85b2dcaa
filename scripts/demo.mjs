/**
 * Runs the two acts of the demo: the fleet on the stand-ins of the brief, and
 * daemons on the stand-ins of the users' platform.
 */
import { spawnSync } from "node:child_process";

const ACTS = [
  ["packages/bench/dist/demo/main.js", ...process.argv.slice(2)],
  ["platform/dist/testing/demo_act.js"],
];

for (const act of ACTS) {
  const { status } = spawnSync(process.execPath, act, { stdio: "inherit" });
  if (status !== 0) process.exit(status ?? 1);
}
