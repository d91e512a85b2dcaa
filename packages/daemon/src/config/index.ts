/** The daemon's side of the published configuration. */
export * from "./config_controller.ts";
export * from "./config_peers.ts";
export * from "./rpc_config_peers.ts";
