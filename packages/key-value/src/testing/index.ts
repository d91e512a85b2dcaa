/** Fakes for tests of packages that use the platform. */
export * from "./fake_key_value.ts";
export * from "./fake_key_value_store.ts";
