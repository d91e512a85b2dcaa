export * from "./vm_list.ts";
export * from "./vm_list_options.ts";
