import type { Contender } from "./replay.ts";

/** The placement with full knowledge that reuse is compared to. */
export const FULL_KNOWLEDGE: Contender = {
  policy: "full-knowledge",
  gate: "exact",
};

/** What the daemons run. */
export const CHOSEN: Contender = { policy: "rendezvous", gate: "permits" };

/** Everything that is run side by side, the yardstick first. */
export const CONTENDERS: readonly Contender[] = [
  FULL_KNOWLEDGE,
  CHOSEN,
  { policy: "rendezvous", gate: "exact" },
  { policy: "rendezvous", gate: "local-estimates" },
  { policy: "rendezvous", gate: "divided-shares" },
  { policy: "bounded-ring", gate: "permits" },
  { policy: "bounded-ring", gate: "local-estimates" },
  { policy: "least-of-two", gate: "no-bound" },
  { policy: "plain-hash", gate: "no-bound" },
  { policy: "round-robin", gate: "no-bound" },
];

/** What the stated targets are judged by. */
export const JUDGED_CONTENDERS: readonly Contender[] = [
  FULL_KNOWLEDGE,
  CHOSEN,
  { policy: "least-of-two", gate: "no-bound" },
];

/** Name of a contender in tables and plots. */
export function contenderName(contender: Contender): string {
  return `${contender.policy} + ${contender.gate}`;
}
