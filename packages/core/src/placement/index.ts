export * from "./baseline_policies.ts";
export * from "./flap_damper.ts";
export * from "./affinity_wait.ts";
export * from "./placement_policy.ts";
export * from "./pool_view.ts";
export * from "./rendezvous_policy.ts";
export * from "./top_scores.ts";
