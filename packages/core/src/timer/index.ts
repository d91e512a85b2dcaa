export * from "./timer_service.ts";
export * from "./virtual_timer_service.ts";
