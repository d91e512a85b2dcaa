/** Synchronizes a daemon's state with the store and with its peers. */
export * from "./call_peer.ts";
export * from "./followed_prefix.ts";
export * from "./store_record_codec.ts";
export * from "./overload_controller.ts";
export * from "./peer_sync_controller.ts";
export * from "./peers_controller.ts";
export * from "./quarantine_controller.ts";
export * from "./target_registry_controller.ts";
export * from "./routes_controller.ts";
export * from "./store_contact_controller.ts";
export * from "./store_follower_controller.ts";
