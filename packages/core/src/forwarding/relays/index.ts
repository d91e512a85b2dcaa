export * from "./relay_tree.ts";
