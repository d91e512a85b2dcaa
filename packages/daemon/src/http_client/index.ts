/** Small HTTP exchanges with peers and the platform. */
export * from "./http_client.ts";
