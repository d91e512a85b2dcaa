export * from "./http_listener.ts";
export * from "./json_body.ts";
export * from "./not_run_response.ts";
