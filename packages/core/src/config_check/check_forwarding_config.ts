import type { ForwardingConfig } from "../forwarding/index.ts";
import { checkBounds } from "./check_bounds.ts";
import { checkNames } from "./check_names.ts";
import { checkRoutes } from "./check_routes.ts";
import {
  type ConfigBounds,
  type ConfigFinding,
  createError,
} from "./config_finding.ts";
import {
  type ConfigDifference,
  diffForwardingConfigs,
} from "./diff_forwarding_configs.ts";

export interface ConfigCheckInput {
  readonly config: ForwardingConfig;
  /** Contradictions to a bound are only found if the bound is known. */
  readonly bounds?: ConfigBounds | undefined;
  /** The configuration in force, if it is known. */
  readonly active?: ForwardingConfig | undefined;
}

export interface ConfigCheckReport {
  readonly findings: readonly ConfigFinding[];
  /** Differences from the active configuration; they are not faults. */
  readonly differences: readonly ConfigDifference[];
}

/** Finds all faults of a configuration and its differences from the active one. */
export function checkForwardingConfig(
  { config, bounds = {}, active }: ConfigCheckInput,
): ConfigCheckReport {
  return {
    findings: [
      ...checkVersion(config, active),
      ...checkNames(config),
      ...checkRoutes(config),
      ...checkBounds(config, bounds),
    ],
    differences: active ? diffForwardingConfigs(active, config) : [],
  };
}

function checkVersion(
  config: ForwardingConfig,
  active: ForwardingConfig | undefined,
): ConfigFinding[] {
  if (!active || config.version > active.version) return [];
  const reason = config.version < active.version
    ? "daemons ignore it"
    : "daemons and logs cannot tell the two apart";
  return [createError(
    ["version"],
    `version ${config.version} is not higher than the active version ` +
      `${active.version}: ${reason}`,
    `set it to ${active.version + 1} or higher`,
  )];
}
