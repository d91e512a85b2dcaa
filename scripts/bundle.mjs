/**
 * Bundles the platform daemon into one file under target/. The daemon then loads
 * one file at startup instead of hundreds.
 */
import { dirname } from "node:path";
import { build } from "esbuild";

/**
 * Replacements for library modules that omit code the daemon never uses: the
 * error message locales of zod, WebAssembly histograms, and the caches, mocks
 * and proxies of the HTTP client. The omitted code would take most of the
 * daemon's startup time.
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
    filter: /undici\/index\.js$/,
    contents: `const Dispatcher = require("./lib/dispatcher/dispatcher");
      const api = require("./lib/api");
      const { getGlobalDispatcher } = require("./lib/global");
      Object.assign(Dispatcher.prototype, api);
      exports.Pool = require("./lib/dispatcher/pool");
      exports.Agent = require("./lib/dispatcher/agent");
      exports.request = (url, options) => {
        const { origin, pathname, search } = new URL(url);
        const dispatcher = options.dispatcher ?? getGlobalDispatcher();
        const path = pathname + search;
        return api.request.call(dispatcher, { ...options, origin, path });
      };`,
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
  plugins: [trimLibraries],
  // Optional dependencies of the logging library, which works without them.
  external: ["dtrace-provider", "mv", "moment", "safe-json-stringify"],
  // Bundled CommonJS packages call require, which ES modules do not define.
  banner: {
    js:
      'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
