/**
 * Installs the locked packages if they are missing or out of date, then builds
 * every workspace package. npm runs this script before the test, demo, soak and
 * bench scripts, so that each works on a fresh checkout.
 */
import { execFileSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const INSTALL_MARKER = "node_modules/.package-lock.json";

/** Whether the installed packages are missing or older than the lock file. */
function isInstallStale() {
  if (!existsSync(INSTALL_MARKER)) return true;
  return statSync(INSTALL_MARKER).mtimeMs <
    statSync("package-lock.json").mtimeMs;
}

function run(command, args) {
  execFileSync(command, args, { stdio: ["ignore", "ignore", "inherit"] });
}

if (isInstallStale()) run("npm", ["ci", "--no-audit", "--no-fund"]);
try {
  execFileSync("node_modules/.bin/tsc", ["-b"], {
    stdio: ["ignore", "inherit", "inherit"],
  });
} catch {
  console.error("The build failed; the compiler's messages stand above.");
  process.exit(1);
}
