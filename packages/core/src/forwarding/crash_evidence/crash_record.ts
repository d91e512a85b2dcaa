import type { SuspectPrompt } from "./prompt_part_ledger.ts";

/**
 * Evidence against the parts of a request whose response had begun: a target
 * that crashes because of a response does so right after its beginning.
 */
const BEGUN_EVIDENCE = 2;
/** Evidence against the parts of a request that the target may still queue. */
const PENDING_EVIDENCE = 1;
/** Limit of suspects per crash; a large target has that many requests. */
const MAX_SUSPECTS = 64;

/** What is known of one crash of a target. */
export class CrashRecord {
  readonly atMs: number;
  #suspects: SuspectPrompt[] = [];
  readonly #evidence = new Map<string, number>();
  readonly #cleared = new Set<string>();
  #isExplained = false;
  #hasBegunSuspect = false;
  #hasIsolatedSuspect = false;

  constructor(atMs: number) {
    this.atMs = atMs;
  }

  /** Whether quarantined parts caused the crash. */
  get isExplained(): boolean {
    return this.#isExplained;
  }

  get suspects(): readonly SuspectPrompt[] {
    return this.#suspects;
  }

  /** Whether the crash interrupted a suspect of an earlier one. */
  get hasIsolatedSuspect(): boolean {
    return this.#hasIsolatedSuspect;
  }

  /** Evidence of this crash against the part; 0 if it is no suspect. */
  evidenceAgainst(part: string): number {
    return this.#evidence.get(part) ?? 0;
  }

  /**
   * Adds a suspect. Requests that had not begun are no suspects beside one that
   * had.
   */
  addSuspect({ parts, hasResponse, isIsolated }: SuspectPrompt): void {
    if (this.#isExplained || this.#suspects.length >= MAX_SUSPECTS) return;
    if (hasResponse && !this.#hasBegunSuspect) {
      this.#hasBegunSuspect = true;
      this.#withdrawAll();
    }
    if (this.#hasBegunSuspect && !hasResponse) return;
    const remaining = parts.filter((part) => !this.#cleared.has(part));
    if (remaining.length === 0) return;
    this.#hasIsolatedSuspect ||= isIsolated === true;
    this.#suspects.push({ parts: remaining, hasResponse });
    const evidence = hasResponse ? BEGUN_EVIDENCE : PENDING_EVIDENCE;
    for (const part of remaining) this.#evidence.set(part, evidence);
  }

  /** Withdraws the evidence against a part. */
  clear(part: string): void {
    this.#cleared.add(part);
    if (!this.#evidence.delete(part)) return;
    this.#suspects = this.#suspects
      .map(({ parts, hasResponse }) => ({
        parts: parts.filter((other) => other !== part),
        hasResponse,
      }))
      .filter(({ parts }) => parts.length > 0);
  }

  isCleared(part: string): boolean {
    return this.#cleared.has(part);
  }

  /** Withdraws the evidence against all parts, since the cause is known. */
  explain(): void {
    this.#isExplained = true;
    this.#withdrawAll();
  }

  #withdrawAll(): void {
    this.#suspects = [];
    this.#evidence.clear();
  }
}
