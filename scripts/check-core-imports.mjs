/**
 * Fails if a source file of packages/core imports a package that is not on the
 * allow list, or calls one of the forbidden functions. Core must not do I/O,
 * read a clock, set timers or draw unseeded random numbers, because replaying a
 * trace must reproduce its decisions.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const CORE_SOURCE = "packages/core/src";
const ALLOWED_PACKAGES = [
  "neverthrow",
  "true-myth",
  "zod",
  "xxhash-wasm",
  "pure-rand",
];
const FORBIDDEN_CALLS =
  /\b(Date\.now|performance\.now|Math\.random|setTimeout|setInterval|setImmediate|fetch)\(/;
const IMPORT_PATTERN = /from\s+"([^"]+)"/g;

function isAllowedImport(specifier) {
  if (specifier.startsWith(".")) return true;
  return ALLOWED_PACKAGES.some((name) =>
    specifier === name || specifier.startsWith(`${name}/`)
  );
}

const errors = [];
for (
  const name of readdirSync(CORE_SOURCE, { recursive: true, encoding: "utf8" })
) {
  if (!name.endsWith(".ts") || name.endsWith("_test.ts")) continue;
  const text = readFileSync(join(CORE_SOURCE, name), "utf8");
  for (const match of text.matchAll(IMPORT_PATTERN)) {
    if (!isAllowedImport(match[1])) errors.push(`${name}: imports ${match[1]}`);
  }
  const code = text.replace(/\/\*[\s\S]*?\*\//g, "").replace(/\/\/.*$/gm, "");
  const call = FORBIDDEN_CALLS.exec(code);
  if (call) errors.push(`${name}: calls ${call[1]}`);
}
if (errors.length > 0) {
  console.error(errors.join("\n"));
  process.exit(1);
}
