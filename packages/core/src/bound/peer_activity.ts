/** Time for which no requests go to a peer that did not respond, in ms. */
const UNRESPONSIVE_BACKOFF_MS = 500;

/** Tracks the time of each peer's last message and the unresponsive peers. */
export class PeerActivity {
  readonly #lastMessageAtMs = new Map<string, number>();
  readonly #unresponsiveUntilMs = new Map<string, number>();

  /** Records a message from a peer; the peer is responsive again. */
  recordMessage(peer: string, nowMs: number): void {
    this.#lastMessageAtMs.set(peer, nowMs);
    this.#unresponsiveUntilMs.delete(peer);
  }

  /** Records that a peer did not respond or that its connection was lost. */
  markUnresponsive(peer: string, nowMs: number): void {
    this.#unresponsiveUntilMs.set(peer, nowMs + UNRESPONSIVE_BACKOFF_MS);
  }

  isUnresponsive(peer: string, nowMs: number): boolean {
    return nowMs < (this.#unresponsiveUntilMs.get(peer) ?? 0);
  }

  /** Monotonic time of a peer's last message, or minus infinity. */
  lastMessageAtMs(peer: string): number {
    return this.#lastMessageAtMs.get(peer) ?? Number.NEGATIVE_INFINITY;
  }

  /** Returns the peers with a message in the last `withinMs`; drops others. */
  retainRecentPeers(withinMs: number, nowMs: number): readonly string[] {
    for (const [peer, lastMessageAtMs] of this.#lastMessageAtMs) {
      if (nowMs - lastMessageAtMs > withinMs) {
        this.#lastMessageAtMs.delete(peer);
      }
    }
    return [...this.#lastMessageAtMs.keys()];
  }
}
