/**
 * Runs jest with the given arguments. A run in which only tests failed that
 * KNOWN-RED.txt lists ends with exit code 0 and prints them; every other
 * failure, and a listed test file that is not there, fails the run.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";
import { relative } from "node:path";

const KNOWN_RED = "KNOWN-RED.txt";
const RESULTS = ".tmp/jest-results.json";
const ENTRY = /^- Test: (\S+_test\.ts), "([^"]+)"/gm;

/** The entries of the list, as `file: name of the test`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return new Set();
  const text = readFileSync(KNOWN_RED, "utf8");
  const entries = [...text.matchAll(ENTRY)];
  for (const [, file] of entries) {
    if (!existsSync(file)) {
      throw new Error(`${KNOWN_RED} names no file ${file}`);
    }
  }
  return new Set(entries.map(([, file, name]) => `${file}: ${name}`));
}

function readFailures() {
  const { testResults } = JSON.parse(readFileSync(RESULTS, "utf8"));
  return testResults.flatMap((suite) => {
    const file = relative(process.cwd(), suite.name);
    const failed = suite.assertionResults
      .filter((test) => test.status === "failed")
      .map((test) => `${file}: ${test.title}`);
    if (failed.length === 0 && suite.status === "failed") return [file];
    return failed;
  });
}

mkdirSync(".tmp", { recursive: true });
rmSync(RESULTS, { force: true });
const run = spawnSync(process.execPath, [
  "--experimental-vm-modules",
  "--no-warnings",
  "node_modules/jest/bin/jest.js",
  "--json",
  `--outputFile=${RESULTS}`,
  ...process.argv.slice(2),
], { stdio: ["ignore", "ignore", "inherit"] });
if (!existsSync(RESULTS)) process.exit(run.status ?? 1);
const knownRed = readKnownRed();
const failures = readFailures();
const unexpected = failures.filter((name) => !knownRed.has(name));
const totals = JSON.parse(readFileSync(RESULTS, "utf8"));
for (const name of failures) {
  const note = knownRed.has(name) ? "known red, passed over" : "FAILED";
  console.log(`${note}: ${name}`);
}
const failed = totals.numFailedTests + totals.numRuntimeErrorTestSuites;
console.log(`Tests: ${totals.numPassedTests} passed, ${failed} failed`);
process.exit(unexpected.length === 0 ? 0 : 1);
