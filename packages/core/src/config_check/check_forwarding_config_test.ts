import { expect, test } from "@jest/globals";
import type { ForwardingConfig, ForwardingRoute } from "../forwarding/index.ts";
import { checkForwardingConfig, type ConfigBounds } from "./index.ts";

const ROUTE: ForwardingRoute = {
  name: "status",
  host: "example.test",
  pathPrefix: "/status/",
  kind: "idempotent",
  timeoutMs: 1_500,
  targetLatencyMs: 300,
  targetPauseMs: Infinity,
  rank: 0,
  services: [{ service: "desk", weight: 1 }],
  maxTargets: 2,
  isPublic: false,
  isResumable: false,
};
const STREAM: ForwardingRoute = {
  ...ROUTE,
  name: "chat",
  pathPrefix: "/chat/",
  kind: "stream",
  services: [{ service: "models", weight: 1 }],
  maxTargets: 1,
};
const TEAM = { name: "team-1", keys: ["secret-1"], rank: undefined };
const CONFIG: ForwardingConfig = {
  version: 7,
  routes: [ROUTE, STREAM],
  services: [
    { name: "desk", maxConnectionsPerTarget: Infinity, engine: undefined },
    {
      name: "models",
      maxConnectionsPerTarget: 8,
      engine: { slots: 8, cacheBytesPerToken: 0, linkMbps: 0 },
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 2_000,
    idleTimeoutMs: 5_000,
  },
  teams: [TEAM],
};
const BOUNDS: ConfigBounds = {
  retryRatio: 0.2,
  shutdownLimitMs: 8_000,
  memoryLimitBytes: 202_000_000,
  maxDescriptors: 2_069,
};

function withRoute(change: Partial<ForwardingRoute>): ForwardingConfig {
  return { ...CONFIG, routes: [{ ...ROUTE, ...change }, STREAM] };
}

function withLimits(change: Partial<ForwardingConfig["limits"]>) {
  return { ...CONFIG, limits: { ...CONFIG.limits, ...change } };
}

function withWeight(weight: number): ForwardingConfig {
  return withRoute({ services: [{ service: "desk", weight }] });
}

function withTeamKeys(...keys: string[][]): ForwardingConfig {
  const teams = keys.map((teamKeys, index) => (
    { name: `team-${index}`, keys: teamKeys, rank: undefined }
  ));
  return { ...CONFIG, teams };
}

function findFaults(config: ForwardingConfig, bounds = BOUNDS): string[] {
  const { findings } = checkForwardingConfig({ config, bounds });
  return findings.map(({ severity, path }) => `${severity} ${path.join(".")}`);
}

// Guards against false alarms, which would make operators ignore the check.
test("a sound configuration has no findings", () => {
  expect(findFaults(CONFIG)).toEqual([]);
  expect(findFaults(CONFIG, {})).toEqual([]);
  const resumable = { ...STREAM, isResumable: true, maxTargets: 2 };
  expect(findFaults({ ...CONFIG, routes: [ROUTE, resumable] })).toEqual([]);
  for (const host of ["localhost", "a.test.", "10.0.0.1", "[::1]"]) {
    expect(findFaults(withRoute({ host, pathPrefix: "/" }))).toEqual([]);
  }
});

const [DESK, MODELS] = CONFIG.services as [
  ForwardingConfig["services"][number],
  ForwardingConfig["services"][number],
];
const FEW_CONNECTIONS = { ...MODELS, maxConnectionsPerTarget: 7 };
const UNKNOWN = [...ROUTE.services, { service: "unknown", weight: 1 }];
const BAD_PREFIXES = ["status/", "/status", "/status?a=/", "/stätus/"];
const BAD_HOSTS = [
  "",
  "A.test",
  "a.test:80",
  "http://a.test",
  "*.test",
  "a..b",
];

const FAULTS: [string, ForwardingConfig][] = [
  ["error routes.1.name", withRoute({ name: "chat" })],
  ["error services.2.name", { ...CONFIG, services: [DESK, MODELS, DESK] }],
  ["error teams.1.name", { ...CONFIG, teams: [TEAM, { ...TEAM, keys: [] }] }],
  ["error teams.1.keys.1", withTeamKeys(["a"], ["b", "a"])],
  ["error teams.0.keys.1", withTeamKeys(["a", "a"])],
  ["error routes.0.services.1.service", withRoute({ services: UNKNOWN })],
  ["warning services.0.name", withRoute({ services: STREAM.services })],
  ["warning routes.0.services.0.weight", withWeight(0)],
  ["error routes.0.services.0.weight", withWeight(-1)],
  ["error routes.1.pathPrefix", withRoute({ pathPrefix: STREAM.pathPrefix })],
  ...BAD_PREFIXES.map((pathPrefix): [string, ForwardingConfig] => [
    "error routes.0.pathPrefix",
    withRoute({ pathPrefix }),
  ]),
  ...BAD_HOSTS.map((host): [string, ForwardingConfig] => [
    "error routes.0.host",
    withRoute({ host }),
  ]),
  ["error routes.0.targetLatencyMs", withRoute({ targetLatencyMs: 1_501 })],
  ["warning routes.0.timeoutMs", withRoute({ timeoutMs: 8_001 })],
  ["warning routes.0.maxTargets", withRoute({ kind: "at-most-once" })],
  [
    "warning services.1.maxConnectionsPerTarget",
    { ...CONFIG, services: [DESK, FEW_CONNECTIONS] },
  ],
  ["error limits.maxBodyBytes", withLimits({ maxBodyBytes: 18_400_001 })],
  ["warning limits.idleTimeoutMs", withLimits({ idleTimeoutMs: 3_999 })],
];

// Guards against faults that go unnoticed, or that one cause reports twice.
test.each(FAULTS)("one finding: %s", (expected, config) => {
  expect(findFaults(config)).toEqual([expected]);
});

test("a route without services leaves its service unused", () => {
  expect(findFaults(withRoute({ services: [] }))).toEqual([
    "warning services.0.name",
    "error routes.0.services",
  ]);
});

test("bounds that leave no retries or connections are found", () => {
  expect(findFaults(CONFIG, { retryRatio: 0, maxDescriptors: 200 })).toEqual([
    "error routes.0.maxTargets",
    "error bounds.maxDescriptors",
  ]);
});

test("a version that is not higher than the active one is an error", () => {
  for (const version of [6, 7]) {
    const config = { ...CONFIG, version };
    const { findings } = checkForwardingConfig({ config, active: CONFIG });
    expect(findings).toMatchObject([{ severity: "error", path: ["version"] }]);
  }
});

test("differences name entries and fields, and no finding", () => {
  const config = {
    ...CONFIG,
    version: 8,
    routes: [{ ...ROUTE, timeoutMs: 1_600, targetPauseMs: 100 }],
    services: [
      DESK,
      { ...MODELS, engine: { ...MODELS.engine!, slots: 4 } },
      { ...DESK, name: "new" },
    ],
    teams: [{ name: "team-1", keys: ["secret-2"], rank: 1 }],
  };
  const report = checkForwardingConfig({ config, active: CONFIG });
  const lines = report.differences.map(({ change, path, before, after }) =>
    `${change} ${path.join(".")} ${before ?? "-"} ${after ?? "-"}`
  );
  expect(lines).toEqual([
    "changed version 7 8",
    "changed routes.status.timeoutMs 1500 1600",
    "changed routes.status.targetPauseMs unlimited 100",
    "removed routes.chat - -",
    "changed services.models.engine.slots 8 4",
    "added services.new - -",
    "changed teams.team-1.keys - -",
    "added teams.team-1.rank - 1",
  ]);
});

// Clients need keys only if teams are configured, even if the list is empty.
test("the removal of all teams is a difference", () => {
  const config = { ...CONFIG, version: 8, teams: undefined };
  const { differences } = checkForwardingConfig({ config, active: CONFIG });
  expect(differences).toContainEqual({ change: "removed", path: ["teams"] });
});

// Guards against API keys in reports and in the logs of build servers.
test("no report contains a key", () => {
  const config = withTeamKeys(["secret-1", "secret-2"], ["secret-2"]);
  const report = checkForwardingConfig({ config, active: CONFIG });
  expect(report.findings).not.toEqual([]);
  expect(JSON.stringify(report)).not.toContain("secret");
});
