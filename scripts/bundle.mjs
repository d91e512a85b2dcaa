/**
 * Bundles the daemon of the platform into one file under target/, so that a
 * start reads one file instead of hundreds.
 */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/dist/main.js"],
  outfile: "target/coltsfootd.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  keepNames: true,
  legalComments: "none",
  logLevel: "warning",
  // Optional packages of the logging library, which it does without.
  external: ["dtrace-provider", "mv", "moment", "safe-json-stringify"],
  // Packages in the older module format call require.
  banner: {
    js:
      'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
