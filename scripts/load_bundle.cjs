/**
 * Loads the bundled daemon with its compiled code. Compiled code of another
 * version of Node.js is ignored; the daemon then starts slower. A CommonJS
 * module, since Node.js loads its loader of ES modules at their first use only.
 */
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const PROGRAM = join(__dirname, "coltsfootd.js");
const CODE_CACHE = join(__dirname, "coltsfootd.cache");
const WRITE_OPTION = "--write-code-cache";
const CHECK_OPTION = "--check-code-cache";

function readCodeCache() {
  try {
    return readFileSync(CODE_CACHE);
  } catch {
    // Without compiled code the program is compiled.
    return undefined;
  }
}

const isWriting = process.argv.includes(WRITE_OPTION);
const script = new Script(readFileSync(PROGRAM, "latin1"), {
  filename: PROGRAM,
  cachedData: isWriting ? undefined : readCodeCache(),
});
if (process.argv.includes(CHECK_OPTION)) {
  process.exit(script.cachedDataRejected === false ? 0 : 1);
}
if (isWriting) {
  const { exit } = process;
  process.exit = (code) => {
    writeFileSync(CODE_CACHE, script.createCachedData());
    exit(code);
  };
}
script.runInThisContext()(require);
