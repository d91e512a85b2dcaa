/** Checks a configuration of the forwarding path before it is sent. */
export * from "./check_forwarding_config.ts";
export type {
  ConfigBounds,
  ConfigFinding,
  FieldPath,
  FindingSeverity,
} from "./config_finding.ts";
export * from "./diff_forwarding_configs.ts";
