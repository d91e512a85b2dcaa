/** Daemons' configuration on fakes, for tests in virtual time. */
export * from "./fake_config_fleet.ts";
export * from "./fake_config_network.ts";
