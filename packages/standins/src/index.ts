/** Stand-ins of the platform and of targets, for tests. */
export * from "./control/index.ts";
export * from "./engine/index.ts";
export * from "./http/index.ts";
export * from "./platform/index.ts";
export * from "./service/index.ts";
export * from "./stand_in.ts";
export * from "./target/index.ts";
export * from "./truth/index.ts";
export * from "./vm_list/index.ts";
export * from "./weights/index.ts";
