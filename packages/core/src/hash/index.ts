export * from "./hash32.ts";
export * from "./rendezvous.ts";
