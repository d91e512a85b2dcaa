/**
 * Bundles the daemon of the platform into one file under target/, so that a
 * start reads one file instead of hundreds.
 */
import { dirname } from "node:path";
import { build } from "esbuild";

/**
 * Parts of libraries that the daemon never uses and that cost most of its time
 * to start: languages of error messages, histograms in WebAssembly, and the
 * caches, mocks and proxies of the HTTP client.
 */
const TRIMMED = [
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
    for (const { filter, contents } of TRIMMED) {
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
  // Optional packages of the logging library, which it does without.
  external: ["dtrace-provider", "mv", "moment", "safe-json-stringify"],
  // Packages in the older module format call require.
  banner: {
    js:
      'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
