/**
 * Fails where a source file of packages/core imports anything that does I/O
 * or reads a clock. The decisions in core must replay the same from a trace.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const CORE_SOURCE = "packages/core/src";
const ALLOWED = ["neverthrow", "true-myth", "zod", "xxhash-wasm", "pure-rand"];
const FORBIDDEN_CALLS =
  /\b(Date\.now|performance\.now|Math\.random|setTimeout|setInterval|setImmediate|fetch)\(/;
const IMPORT = /from\s+"([^"]+)"/g;

function isAllowedImport(specifier) {
  if (specifier.startsWith(".")) return true;
  return ALLOWED.some((name) =>
    specifier === name || specifier.startsWith(`${name}/`)
  );
}

const faults = [];
for (
  const name of readdirSync(CORE_SOURCE, { recursive: true, encoding: "utf8" })
) {
  if (!name.endsWith(".ts") || name.endsWith("_test.ts")) continue;
  const text = readFileSync(join(CORE_SOURCE, name), "utf8");
  for (const match of text.matchAll(IMPORT)) {
    if (!isAllowedImport(match[1])) faults.push(`${name}: imports ${match[1]}`);
  }
  const code = text.replace(/\/\*[\s\S]*?\*\//g, "").replace(/\/\/.*$/gm, "");
  const call = FORBIDDEN_CALLS.exec(code);
  if (call) faults.push(`${name}: calls ${call[1]}`);
}
if (faults.length > 0) {
  console.error(faults.join("\n"));
  process.exit(1);
}
