export * from "./admin_app.ts";
