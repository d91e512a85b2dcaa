/**
 * Facts of one topic that a daemon keeps and passes on to daemons that were not
 * there when they were announced.
 */
export interface RetainedFacts {
  readonly topic: string;
  listFacts(): readonly unknown[];
  /** Takes a fact of another daemon; throws if it is malformed. */
  applyFact(fact: unknown): void;
}
