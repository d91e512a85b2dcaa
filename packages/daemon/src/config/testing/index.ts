/** Fakes for tests of the daemons' configuration in virtual time. */
export * from "./fake_config_fleet.ts";
export * from "./fake_config_network.ts";
