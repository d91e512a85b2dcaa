import { planByteBudget } from "../byte_budget/index.ts";
import { RESERVED_FILE_DESCRIPTORS } from "../connections/index.ts";
import {
  canExecuteTwice,
  type ClientLimits,
  type ForwardingConfig,
  type ForwardingRoute,
  type ForwardingService,
} from "../forwarding/index.ts";
import {
  type ConfigBounds,
  type ConfigFinding,
  createError,
  createWarning,
} from "./config_finding.ts";

/**
 * How long clients that ignore the Keep-Alive header reuse an idle connection:
 * the default of undici, which is the HTTP client of Node.js.
 */
const CLIENT_REUSE_MS = 4_000;

/** Finds limits that contradict one another or the daemons' settings. */
export function checkBounds(
  { routes, services, limits }: ForwardingConfig,
  bounds: ConfigBounds,
): ConfigFinding[] {
  return [
    ...routes.flatMap((route, index) => [
      ...checkTimeout(route, index, bounds),
      ...checkAttempts(route, index, bounds),
    ]),
    ...services.flatMap(checkConnections),
    ...checkClientLimits(limits, bounds),
  ];
}

function checkTimeout(
  { name, timeoutMs, targetLatencyMs }: ForwardingRoute,
  index: number,
  { shutdownLimitMs = Infinity }: ConfigBounds,
): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  if (targetLatencyMs > timeoutMs) {
    findings.push(createError(
      ["routes", index, "targetLatencyMs"],
      `the latency objective of route ${name}, ${targetLatencyMs} ms, is above ` +
        `its time-out of ${timeoutMs} ms`,
      "lower the objective or raise the time-out",
    ));
  }
  if (timeoutMs > shutdownLimitMs) {
    findings.push(createWarning(
      ["routes", index, "timeoutMs"],
      `the time-out of route ${name}, ${timeoutMs} ms, is above the shutdown ` +
        `limit of ${shutdownLimitMs} ms, so a shutdown may cut its requests`,
      "lower the time-out or raise the shutdown limit",
    ));
  }
  return findings;
}

function checkAttempts(
  route: ForwardingRoute,
  index: number,
  { retryRatio }: ConfigBounds,
): ConfigFinding[] {
  const { name, maxTargets } = route;
  if (maxTargets <= 1) return [];
  const path = ["routes", index, "maxTargets"];
  const findings: ConfigFinding[] = [];
  if (!canExecuteTwice(route)) {
    findings.push(createWarning(
      path,
      `route ${name} has ${maxTargets} attempts, but its requests may execute ` +
        "only once, so no other attempt follows one that may have executed",
      "set the attempts to 1, or change the kind of the route",
    ));
  }
  if (retryRatio === 0) {
    findings.push(createError(
      path,
      `the ${maxTargets} attempts of route ${name} need a retry budget, and ` +
        "the settings have a ratio of 0",
      "set the attempts to 1, or raise the ratio",
    ));
  }
  return findings;
}

function checkConnections(
  { name, maxConnectionsPerTarget, engine }: ForwardingService,
  index: number,
): ConfigFinding[] {
  if (!engine || maxConnectionsPerTarget >= engine.slots) return [];
  return [createWarning(
    ["services", index, "maxConnectionsPerTarget"],
    `${maxConnectionsPerTarget} connections to a target of service ${name} ` +
      `cannot use its ${engine.slots} slots`,
    "raise the connections to the number of slots",
  )];
}

function checkClientLimits(
  { maxBodyBytes, idleTimeoutMs }: ClientLimits,
  { memoryLimitBytes, maxDescriptors = Infinity }: ConfigBounds,
): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const bodyShareBytes = findBodyShareBytes(memoryLimitBytes);
  if (maxBodyBytes > bodyShareBytes) {
    findings.push(createError(
      ["limits", "maxBodyBytes"],
      `the body limit of ${maxBodyBytes} bytes is above the share of memory ` +
        `for bodies, ${bodyShareBytes} bytes`,
      "lower the limit or raise the memory limit",
    ));
  }
  if (idleTimeoutMs < CLIENT_REUSE_MS) {
    findings.push(createWarning(
      ["limits", "idleTimeoutMs"],
      `the idle limit of ${idleTimeoutMs} ms is below the ` +
        `${CLIENT_REUSE_MS} ms for which clients reuse a connection`,
      `set the limit to ${CLIENT_REUSE_MS} ms or more`,
    ));
  }
  if (maxDescriptors <= RESERVED_FILE_DESCRIPTORS) {
    findings.push(createError(
      ["bounds", "maxDescriptors"],
      `${maxDescriptors} descriptors leave none for connections, because ` +
        `${RESERVED_FILE_DESCRIPTORS} are reserved for files`,
      "raise the number of descriptors in the settings",
    ));
  }
  return findings;
}

function findBodyShareBytes(memoryLimitBytes: number | undefined): number {
  if (memoryLimitBytes === undefined) return Infinity;
  const { totalBytes, requestShare } = planByteBudget(memoryLimitBytes);
  return Math.floor(totalBytes * requestShare);
}
