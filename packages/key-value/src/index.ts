/**
 * The abstract client of a key-value service with its watch loop and prefix
 * mirror, a client of etcd's JSON gateway, and a client of the VM list.
 */
export * from "./config_parts.ts";
export * from "./etcd_gateway_client.ts";
export * from "./key_value_client.ts";
export * from "./key_value_error.ts";
export * from "./key_value_types.ts";
export * from "./prefix_mirror.ts";
export * from "./system_timer_service.ts";
export * from "./vm_list_client.ts";
export type {
  LongPollLimits,
  Watch,
  WatchOptions,
  WatchSink,
} from "./watch_loop.ts";
