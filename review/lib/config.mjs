/** A configuration of the operator, like that of a small deployment. */
export const ROUTE_HOST = "shop.example";
export const KEY = "n2ctnfzs989anu6wsjnb";

const ROUTE = {
  host: ROUTE_HOST,
  timeout_ms: 1_500,
  slo_ms: 141,
  priority: 2,
  public: false,
};
const STREAM = {
  ...ROUTE,
  kind: "streaming",
  timeout_ms: 12_000,
  slo_ms: 800,
  gap_slo_ms: 400,
  sticky: true,
  service: "engines",
};

export function createConfig(version, { routes = [], keys = [] } = {}) {
  return {
    version,
    routes: [
      {
        ...STREAM,
        name: "r-report",
        prefix: "/report/",
        resumable: true,
        max_attempts: 2,
      },
      {
        ...ROUTE,
        name: "r-book",
        prefix: "/book/",
        kind: "unsafe",
        service: "desk",
        max_attempts: 1,
      },
      {
        ...ROUTE,
        name: "r-status",
        prefix: "/status/",
        kind: "safe",
        service: "desk",
        max_attempts: 2,
      },
      ...routes.map((route) => ({ ...ROUTE, ...route })),
    ],
    services: [
      {
        name: "engines",
        health_path: "/health",
        max_conns: 360,
        protocol: "h1",
        tls: false,
        engine: {
          slot_count: 64,
          kv_capacity: 526597,
          kv_token_bytes: 163840,
          link_mbps: 260000.0,
        },
      },
      {
        name: "desk",
        health_path: "/health",
        max_conns: 96,
        protocol: "h1",
        tls: false,
      },
      {
        name: "desk-two",
        health_path: "/health",
        max_conns: 96,
        protocol: "h1",
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "hule930", api_keys: [KEY, ...keys], priority: 1 }],
  };
}
