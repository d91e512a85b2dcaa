import type { ForwardingConfig, ForwardingRoute } from "../forwarding/index.ts";
import {
  type ConfigFinding,
  createError,
  createWarning,
} from "./config_finding.ts";

/** Lower-case names as clients send them, and IPv6 addresses in brackets. */
const HOST_PATTERN = /^[a-z0-9_-]+(\.[a-z0-9_-]+)*\.?$|^\[[0-9a-f:.]+\]$/;
/** Printable ASCII without ? and #, which end the path of a request. */
const PATH_PATTERN = /^[!"$->@-~]*$/;

/** Finds routes that never match a request, and ineffective weights. */
export function checkRoutes({ routes }: ForwardingConfig): ConfigFinding[] {
  return [
    ...routes.flatMap((route, index) => [
      ...checkHost(route, index),
      ...checkPrefix(route, index),
      ...checkWeights(route, index),
    ]),
    ...checkUniqueMatches(routes),
  ];
}

function checkHost({ name, host }: ForwardingRoute, index: number) {
  if (HOST_PATTERN.test(host)) return [];
  return [createError(
    ["routes", index, "host"],
    `route ${name} never matches: "${host}" cannot be the host of a request`,
    "use a host name in lower case, without scheme, port, path or wildcard",
  )];
}

function checkPrefix({ name, pathPrefix }: ForwardingRoute, index: number) {
  const path = ["routes", index, "pathPrefix"];
  const findings: ConfigFinding[] = [];
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    findings.push(createError(
      path,
      `the prefix "${pathPrefix}" of route ${name} does not begin and end ` +
        "with a slash",
      "add the missing slash",
    ));
  }
  if (!PATH_PATTERN.test(pathPrefix)) {
    findings.push(createError(
      path,
      `route ${name} never matches: "${pathPrefix}" has characters that the ` +
        "path of a request cannot have",
      "remove the query or fragment, and percent-encode other characters",
    ));
  }
  return findings;
}

function checkWeights(route: ForwardingRoute, index: number): ConfigFinding[] {
  const path = ["routes", index, "services"];
  if (route.services.length === 0) {
    return [createError(
      path,
      `route ${route.name} names no service, so all its requests are rejected`,
      "name a service or remove the route",
    )];
  }
  return route.services.flatMap(({ service, weight }, serviceIndex) => {
    if (weight > 0) return [];
    const weightPath = [...path, serviceIndex, "weight"];
    if (weight < 0) {
      return [createError(
        weightPath,
        `the weight of service ${service} in route ${route.name} is negative`,
        "set a weight above 0, or remove the service from the route",
      )];
    }
    return [createWarning(
      weightPath,
      `service ${service} has the weight 0 in route ${route.name}`,
      "set a weight above 0, or remove the service from the route",
    )];
  });
}

/** Of routes with the same host and prefix, only the first one matches. */
function checkUniqueMatches(
  routes: readonly ForwardingRoute[],
): ConfigFinding[] {
  const firstNames = new Map<string, string>();
  return routes.flatMap(({ name, host, pathPrefix }, index) => {
    const match = JSON.stringify([host, pathPrefix]);
    const firstName = firstNames.get(match);
    if (firstName === undefined) {
      firstNames.set(match, name);
      return [];
    }
    return [createError(
      ["routes", index, "pathPrefix"],
      `route ${name} never matches: route ${firstName} has the same host and ` +
        "prefix",
      "change the host or prefix, or remove one of the routes",
    )];
  });
}
