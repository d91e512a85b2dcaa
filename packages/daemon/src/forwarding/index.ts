/**
 * Forwards HTTP requests of any kind to the targets of services. A platform
 * provides the codecs and the store client; see `ForwardingPlatform`.
 */
export * from "./forwarding_daemon.ts";
export * from "./http_headers.ts";
export * from "./knowledge/store_record_codec.ts";
export * from "./request_codec.ts";
export * from "./request_digest.ts";
export * from "./settings.ts";
