import { hash32 } from "../../hash/index.ts";
import type {
  ForwardingConfig,
  ForwardingRoute,
  ForwardingService,
  TeamKeys,
} from "./forwarding_config.ts";

/** The team of a key, or the reason why there is none. */
export type TeamLookup =
  | { readonly kind: "team"; readonly team: TeamKeys }
  | { readonly kind: "no-team" }
  | { readonly kind: "unknown-key" };

/** Looks up routes, services and teams of one configuration. */
export class RouteTable {
  readonly config: ForwardingConfig;
  /** The routes of each host, sorted by prefix length, the longest first. */
  readonly #routesByHost = new Map<string, ForwardingRoute[]>();
  readonly #services = new Map<string, ForwardingService>();
  readonly #teamsByKey = new Map<string, TeamKeys>();

  constructor(config: ForwardingConfig) {
    this.config = config;
    for (const route of config.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of config.services) {
      this.#services.set(service.name, service);
    }
    for (const team of config.teams ?? []) {
      for (const key of team.keys) this.#teamsByKey.set(key, team);
    }
  }

  /** The route with the longest prefix that the path starts with. */
  findRoute(host: string, path: string): ForwardingRoute | undefined {
    const routes = this.#routesByHost.get(host);
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  findService(name: string): ForwardingService | undefined {
    return this.#services.get(name);
  }

  /** Finds the team of a key; a public route serves clients without a team. */
  findTeam(route: ForwardingRoute, key: string | undefined): TeamLookup {
    if (this.config.teams === undefined) return { kind: "no-team" };
    const team = key === undefined ? undefined : this.#teamsByKey.get(key);
    if (team) return { kind: "team", team };
    return route.isPublic ? { kind: "no-team" } : { kind: "unknown-key" };
  }
}

/**
 * Picks the service for a request by weight. The choice depends only on the
 * request id, so every daemon makes the same choice.
 */
export function pickService(
  route: ForwardingRoute,
  requestId: string,
): string | undefined {
  const { services } = route;
  if (services.length === 1) return services[0]?.service;
  const totalWeight = services.reduce((sum, entry) => sum + entry.weight, 0);
  let position = (hash32(requestId) / 2 ** 32) * totalWeight;
  for (const entry of services) {
    position -= entry.weight;
    if (position < 0) return entry.service;
  }
  return services.at(-1)?.service;
}
