/** Talks to the daemons' admin ports. */
export * from "./admin_client.ts";
