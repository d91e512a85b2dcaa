export * from "./key_value_service.ts";
export * from "./platform_options.ts";
export {
  KeyValueStore,
  type StoredValue,
  type StoreEvent,
  type StoreSnapshot,
} from "./key_value_store.ts";
export { Leases, type LeasesSnapshot } from "./leases.ts";
