/** In-memory fakes of the platform for tests of other packages. */
export * from "./fake_key_value.ts";
export * from "./fake_key_value_store.ts";
