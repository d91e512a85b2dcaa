/** Synchronizes a daemon's state with the store and with its peers. */
export * from "./call_peer.ts";
export * from "./crash_check.ts";
export * from "./fleet_relay.ts";
export * from "./followed_prefix.ts";
export * from "./store_record_codec.ts";
export * from "./limit_controller.ts";
export * from "./overload_controller.ts";
export * from "./peer_sync_controller.ts";
export * from "./peers_controller.ts";
export * from "./prompt_quarantine_controller.ts";
export * from "./quarantine_controller.ts";
export * from "./retained_facts.ts";
export * from "./target_registry_controller.ts";
export * from "./routes_controller.ts";
export * from "./store_contact_controller.ts";
export * from "./store_follower_controller.ts";
export * from "./store_relay_controller.ts";
