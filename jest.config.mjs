/** Jest runs the TypeScript sources as ES modules, compiled by swc. */
export default {
  testEnvironment: "node",
  roots: ["<rootDir>/packages", "<rootDir>/platform"],
  testMatch: ["**/src/**/*_test.ts"],
  extensionsToTreatAsEsm: [".ts"],
  transform: {
    "^.+\\.ts$": ["@swc/jest", {
      jsc: { parser: { syntax: "typescript" }, target: "es2022" },
      module: { type: "es6" },
    }],
  },
  moduleNameMapper: {
    "^@coltsfootford/platform$": "<rootDir>/platform/src/index.ts",
    "^@coltsfootford/([^/]+)$": "<rootDir>/packages/$1/src/index.ts",
    "^@coltsfootford/([^/]+)/(.+)$": "<rootDir>/packages/$1/src/$2/index.ts",
  },
  testTimeout: 60_000,
  maxWorkers: 4,
};
