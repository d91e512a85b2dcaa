/** Reads and validates the operators' object files. */
export * from "./base_file.ts";
export * from "./describe_objects.ts";
export * from "./load_objects.ts";
