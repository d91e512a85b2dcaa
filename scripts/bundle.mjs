/**
 * Bundles the platform daemon under target/: the program, its compiled code, and
 * a loader. The daemon then loads one file at startup instead of hundreds, and
 * compiles none of it.
 */
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { builtinModules } from "node:module";
import { dirname } from "node:path";
import { build } from "esbuild";

const PROGRAM = "target/coltsfootd.js";
const LOADER = "target/coltsfootd.cjs";
const CODE_CACHE = "target/coltsfootd.cache";

/**
 * Replacements for library modules that omit code the daemon never uses: the
 * error message locales of zod, WebAssembly histograms, and the reading and
 * writing of histograms. The omitted code would take most of the daemon's
 * startup time.
 */
const MODULE_REPLACEMENTS = [
  {
    filter: /zod\/v4\/locales\/index\.js$/,
    contents: 'export { default as en } from "./en.js";',
  },
  {
    filter: /hdr-histogram-js\/dist\/wasm\/index\.js$/,
    contents: `class WasmHistogram {}
      exports.WasmHistogram = WasmHistogram;`,
  },
  {
    filter: /hdr-histogram-js\/dist\/index\.js$/,
    contents: `exports.build = require("./HistogramBuilder").build;`,
  },
  {
    filter: /hdr-histogram-js\/dist\/(encoding|JsHistogram\.encoding)\.js$/,
    contents: "",
  },
];

const trimLibraries = {
  name: "trim-libraries",
  setup(bundler) {
    for (const { filter, contents } of MODULE_REPLACEMENTS) {
      bundler.onLoad({ filter }, ({ path }) => ({
        contents,
        resolveDir: dirname(path),
      }));
    }
  },
};

/** Optional dependencies of the logging library, which works without them. */
const MISSING_MODULES = /^(dtrace-provider|mv|moment|safe-json-stringify)$/;

/** Fails at once where the search for a missing module takes file accesses. */
const omitMissingModules = {
  name: "omit-missing-modules",
  setup(bundler) {
    const namespace = "missing";
    bundler.onResolve({ filter: MISSING_MODULES }, ({ path }) => ({
      path,
      namespace,
    }));
    bundler.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: `throw new Error("${path} is not bundled");`,
    }));
  },
};

/** Turns imports of modules of Node.js into calls of `require`. */
const requireBuiltins = {
  name: "require-builtins",
  setup(bundler) {
    const namespace = "builtin";
    bundler.onResolve({ filter: /.*/ }, ({ path, namespace: importer }) => {
      const name = path.replace(/^node:/, "");
      if (!builtinModules.includes(name)) return undefined;
      if (importer === namespace) return { path, external: true };
      return { path: `node:${name}`, namespace };
    });
    bundler.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: `module.exports = require("${path}");`,
    }));
  },
};

const { outputFiles: [bundle] } = await build({
  entryPoints: ["platform/dist/main.js"],
  write: false,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  keepNames: true,
  legalComments: "none",
  logLevel: "warning",
  plugins: [trimLibraries, omitMissingModules, requireBuiltins],
});
mkdirSync(dirname(PROGRAM), { recursive: true });
// A script, unlike a module, can be loaded with its compiled code.
writeFileSync(
  PROGRAM,
  `(async function (require) {"use strict";${bundle.text}\n})`,
);
writeFileSync(LOADER, readFileSync("scripts/load_bundle.cjs"));
writeCodeCache();

/** The options of Node.js in the deploy file; compiled code is bound to them. */
function readNodeFlags() {
  const deployFile = readFileSync("deploy/system.toml", "utf8");
  const command = /^run = "node (.*?)target\//m.exec(deployFile);
  return command[1].split(" ").filter((flag) => flag !== "");
}

function runLoader(option) {
  return spawnSync(process.execPath, [...readNodeFlags(), LOADER, option]);
}

/**
 * Lets the program write what it has compiled. Without settings it ends with the
 * usage error code once it has loaded.
 */
function writeCodeCache() {
  rmSync(CODE_CACHE, { force: true });
  runLoader("--write-code-cache");
  if (runLoader("--check-code-cache").status === 0) return;
  throw new Error("the compiled code was not written or is not accepted");
}
