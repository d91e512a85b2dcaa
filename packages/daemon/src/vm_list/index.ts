export * from "./vm_list_controller.ts";
