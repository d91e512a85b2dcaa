import type { ForwardingConfig, TeamKeys } from "../forwarding/index.ts";
import {
  type ConfigFinding,
  createError,
  createWarning,
} from "./config_finding.ts";

/** Finds duplicate names and keys, and references to missing services. */
export function checkNames(config: ForwardingConfig): ConfigFinding[] {
  const { routes, services, teams = [] } = config;
  return [
    ...checkUniqueNames("routes", routes),
    ...checkUniqueNames("services", services),
    ...checkUniqueNames("teams", teams),
    ...checkUniqueKeys(teams),
    ...checkServiceNames(config),
  ];
}

function checkUniqueNames(
  list: string,
  entries: readonly { readonly name: string }[],
): ConfigFinding[] {
  const names = new Set<string>();
  return entries.flatMap(({ name }, index) => {
    if (!names.has(name)) {
      names.add(name);
      return [];
    }
    return [createError(
      [list, index, "name"],
      `another entry has the name ${name}`,
      "rename or remove one of them",
    )];
  });
}

/** The messages name the teams only, because keys are secrets. */
function checkUniqueKeys(teams: readonly TeamKeys[]): ConfigFinding[] {
  const teamByKey = new Map<string, string>();
  return teams.flatMap(({ name, keys }, teamIndex) =>
    keys.flatMap((key, keyIndex) => {
      const otherTeam = teamByKey.get(key);
      if (otherTeam === undefined) {
        teamByKey.set(key, name);
        return [];
      }
      return [createError(
        ["teams", teamIndex, "keys", keyIndex],
        `team ${name} has a key that is already listed for team ${otherTeam}`,
        otherTeam === name ? "remove one of them" : "issue another key",
      )];
    })
  );
}

function checkServiceNames(
  { routes, services }: ForwardingConfig,
): ConfigFinding[] {
  const known = new Set(services.map(({ name }) => name));
  const used = new Set<string>();
  const findings: ConfigFinding[] = [];
  routes.forEach((route, routeIndex) => {
    route.services.forEach(({ service }, index) => {
      used.add(service);
      if (known.has(service)) return;
      findings.push(createError(
        ["routes", routeIndex, "services", index, "service"],
        `route ${route.name} names the service ${service}, which does not exist`,
        "add the service or name another one",
      ));
    });
  });
  return [...findings, ...checkUnusedServices(services, used)];
}

function checkUnusedServices(
  services: ForwardingConfig["services"],
  used: ReadonlySet<string>,
): ConfigFinding[] {
  return services.flatMap(({ name }, index) => {
    if (used.has(name)) return [];
    return [createWarning(
      ["services", index, "name"],
      `no route names the service ${name}`,
      "add it to a route or remove it",
    )];
  });
}
