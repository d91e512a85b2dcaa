/** Client of the daemons' admin ports. */
export * from "./admin_client.ts";
