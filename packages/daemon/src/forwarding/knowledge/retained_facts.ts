/**
 * Facts of one topic that a daemon keeps and passes on to daemons that were not
 * there when they were announced.
 */
export interface RetainedFacts {
  readonly topic: string;
  /** Where set, only daemons with a lower version get the facts. */
  readonly version?: number | undefined;
  listFacts(): readonly unknown[];
  /** Takes a fact of another daemon; throws if it is malformed. */
  applyFact(fact: unknown): void;
}
