/**
 * Runs jest with the given arguments. A run in which only tests failed that
 * KNOWN-RED.txt lists ends with exit code 0 and prints them; every other
 * failure, and a listed test file that is not there, fails the run. Without
 * arguments, the tests of crowds run alone, after all others.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";
import { relative } from "node:path";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const RESULTS_FILE = ".tmp/jest-results.json";
/** Tests that measure the memory of a daemon beside many clients. */
const CROWD_TESTS = ["crowd_test", "untrusted_clients/", "misbehaving_clients"];
/** A title may contain quotation marks; the status follows in parentheses. */
const ENTRY_PATTERN = /^- Test: (\S+_test\.ts), "(.+?)" \(/gm;

/** Returns the entries of KNOWN-RED.txt in the form `file: test title`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const text = readFileSync(KNOWN_RED_FILE, "utf8");
  const entries = [...text.matchAll(ENTRY_PATTERN)];
  for (const [, file] of entries) {
    if (!existsSync(file)) {
      throw new Error(`${KNOWN_RED_FILE} names no file ${file}`);
    }
  }
  return new Set(entries.map(([, file, name]) => `${file}: ${name}`));
}

/** Runs jest, and returns its results. */
function runJest(args) {
  rmSync(RESULTS_FILE, { force: true });
  const jest = spawnSync(process.execPath, [
    "--experimental-vm-modules",
    "--no-warnings",
    "node_modules/jest/bin/jest.js",
    "--json",
    `--outputFile=${RESULTS_FILE}`,
    ...args,
  ], { stdio: ["ignore", "ignore", "inherit"] });
  if (!existsSync(RESULTS_FILE)) process.exit(jest.status ?? 1);
  return JSON.parse(readFileSync(RESULTS_FILE, "utf8"));
}

function listFailures({ testResults }) {
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
const args = process.argv.slice(2);
const runs = args.length > 0 ? [runJest(args)] : [
  runJest(["--testPathIgnorePatterns", "/node_modules/", ...CROWD_TESTS]),
  runJest(["--runInBand", "--testPathPatterns", ...CROWD_TESTS]),
];
const knownRed = readKnownRed();
const failures = runs.flatMap(listFailures);
const unexpected = failures.filter((name) => !knownRed.has(name));
for (const name of failures) {
  const note = knownRed.has(name) ? "known red, passed over" : "FAILED";
  console.log(`${note}: ${name}`);
}
const sum = (count) => runs.reduce((total, run) => total + count(run), 0);
const passed = sum((run) => run.numPassedTests);
const failed = sum((run) => run.numFailedTests + run.numRuntimeErrorTestSuites);
console.log(`Tests: ${passed} passed, ${failed} failed`);
process.exit(unexpected.length === 0 ? 0 : 1);
