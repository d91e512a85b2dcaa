import type { Contender } from "./replay.ts";

/** Placement with full knowledge of the caches: the reference for reuse. */
export const FULL_KNOWLEDGE: Contender = {
  policy: "full-knowledge",
  gate: "exact",
};

/** The policy and gate that the daemons use in production. */
export const PRODUCTION_CONTENDER: Contender = {
  policy: "rendezvous",
  gate: "permits",
};

/** All contenders of a full comparison, the reference first. */
export const CONTENDERS: readonly Contender[] = [
  FULL_KNOWLEDGE,
  PRODUCTION_CONTENDER,
  { policy: "rendezvous", gate: "exact" },
  { policy: "rendezvous", gate: "local-estimates" },
  { policy: "rendezvous", gate: "divided-shares" },
  { policy: "bounded-ring", gate: "permits" },
  { policy: "bounded-ring", gate: "local-estimates" },
  { policy: "least-of-two", gate: "no-bound" },
  { policy: "plain-hash", gate: "no-bound" },
  { policy: "round-robin", gate: "no-bound" },
];

/** The contenders that are needed to evaluate the performance targets. */
export const JUDGED_CONTENDERS: readonly Contender[] = [
  FULL_KNOWLEDGE,
  PRODUCTION_CONTENDER,
  { policy: "least-of-two", gate: "no-bound" },
];

/** Name of a contender in tables and plots. */
export function contenderName(contender: Contender): string {
  return `${contender.policy} + ${contender.gate}`;
}
