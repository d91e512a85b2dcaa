export * from "./system_timer_service.ts";
