/** Which requests a daemon accepts while it shuts down. */
export * from "./accept_request.ts";
