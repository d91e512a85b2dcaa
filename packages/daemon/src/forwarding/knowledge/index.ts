/** What a daemon of the forwarding path knows, and from where. */
export * from "./call_peer.ts";
export * from "./followed_prefix.ts";
export * from "./knowledge_codec.ts";
export * from "./peer_knowledge_controller.ts";
export * from "./peers_controller.ts";
export * from "./quarantine_controller.ts";
export * from "./target_registry_controller.ts";
export * from "./routes_controller.ts";
export * from "./store_contact_controller.ts";
export * from "./store_follower_controller.ts";
