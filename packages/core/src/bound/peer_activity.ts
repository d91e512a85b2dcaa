/** A peer that gave no answer is not asked again for this time, in ms. */
const SILENT_MS = 500;

/** When each peer was heard last, and which of them give no answer. */
export class PeerActivity {
  readonly #heardAtMs = new Map<string, number>();
  readonly #silentUntilMs = new Map<string, number>();

  /** Notes a message of a peer. */
  noteHeard(peer: string, nowMs: number): void {
    this.#heardAtMs.set(peer, nowMs);
    this.#silentUntilMs.delete(peer);
  }

  /** Notes that a peer gave no answer, or that its connection was lost. */
  noteSilent(peer: string, nowMs: number): void {
    this.#silentUntilMs.set(peer, nowMs + SILENT_MS);
  }

  isSilent(peer: string, nowMs: number): boolean {
    return nowMs < (this.#silentUntilMs.get(peer) ?? 0);
  }

  /** Monotonic time of a peer's last message; minus infinity for none. */
  heardAtMs(peer: string): number {
    return this.#heardAtMs.get(peer) ?? Number.NEGATIVE_INFINITY;
  }

  /** Peers heard within a time; the others are forgotten. */
  takeRecent(withinMs: number, nowMs: number): readonly string[] {
    for (const [peer, heardAtMs] of this.#heardAtMs) {
      if (nowMs - heardAtMs > withinMs) this.#heardAtMs.delete(peer);
    }
    return [...this.#heardAtMs.keys()];
  }
}
