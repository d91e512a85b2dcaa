import type { SuspectPrompt } from "./prompt_part_ledger.ts";

/**
 * Evidence against the parts of a request whose response had begun: a target
 * that crashes because of a response mostly does so right after its beginning.
 */
const BEGUN_EVIDENCE = 2;
/** Evidence against the parts of a request that the target may still queue. */
const PENDING_EVIDENCE = 1;
/**
 * Evidence against the parts of a request whose response had gone on. Any crash
 * interrupts many of these, and few of them are its cause.
 */
const ADVANCED_EVIDENCE = 1;
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
   * had just begun.
   */
  addSuspect(suspect: SuspectPrompt): void {
    const { parts, hasResponse, isAdvanced, isIsolated } = suspect;
    if (this.#isExplained || this.#suspects.length >= MAX_SUSPECTS) return;
    if (hasResponse && !isAdvanced && !this.#hasBegunSuspect) {
      this.#hasBegunSuspect = true;
      this.#withdrawPending();
    }
    if (this.#hasBegunSuspect && !hasResponse) return;
    const remaining = parts.filter((part) => !this.#cleared.has(part));
    if (remaining.length === 0) return;
    this.#hasIsolatedSuspect ||= isIsolated === true;
    const added = { parts: remaining, hasResponse, isAdvanced };
    this.#suspects.push(added);
    this.#addEvidence(added);
  }

  /** Withdraws the evidence against a part. */
  clear(part: string): void {
    this.#cleared.add(part);
    if (!this.#evidence.delete(part)) return;
    this.#suspects = this.#suspects
      .map((suspect) => ({
        ...suspect,
        parts: suspect.parts.filter((other) => other !== part),
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

  /** A part counts as the suspect with the most evidence against it does. */
  #addEvidence({ parts, hasResponse, isAdvanced }: SuspectPrompt): void {
    let evidence = PENDING_EVIDENCE;
    if (hasResponse) evidence = isAdvanced ? ADVANCED_EVIDENCE : BEGUN_EVIDENCE;
    for (const part of parts) {
      const known = this.evidenceAgainst(part);
      this.#evidence.set(part, Math.max(known, evidence));
    }
  }

  #withdrawPending(): void {
    const remaining = this.#suspects.filter(({ hasResponse }) => hasResponse);
    this.#withdrawAll();
    this.#suspects = remaining;
    for (const suspect of remaining) this.#addEvidence(suspect);
  }

  #withdrawAll(): void {
    this.#suspects = [];
    this.#evidence.clear();
  }
}
