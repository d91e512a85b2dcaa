/** A daemon in the list of the store. */
interface NamedPeer {
  readonly name: string;
}

/**
 * The daemons that are listed in the store. A daemon that a restored store has
 * lost counts as listed until it must have registered again.
 */
export class ListedPeers<Peer extends NamedPeer> {
  readonly #graceMs: number;
  #listed: readonly Peer[] = [];
  readonly #lost = new Map<string, { peer: Peer; untilMs: number }>();

  /** `graceMs`: time within which a live daemon registers again. */
  constructor(graceMs: number) {
    this.#graceMs = graceMs;
  }

  /** Applies the whole list. `isRestored`: the store was just restored. */
  update(peers: readonly Peer[], nowMs: number, isRestored: boolean): void {
    const names = new Set(peers.map(({ name }) => name));
    if (isRestored) {
      for (const peer of this.#listed) {
        if (names.has(peer.name)) continue;
        this.#lost.set(peer.name, { peer, untilMs: nowMs + this.#graceMs });
      }
    }
    for (const name of names) this.#lost.delete(name);
    this.#listed = peers;
  }

  /** The daemons that count as listed now. */
  list(nowMs: number): readonly Peer[] {
    for (const [name, { untilMs }] of this.#lost) {
      if (nowMs >= untilMs) this.#lost.delete(name);
    }
    const lost = [...this.#lost.values()].map(({ peer }) => peer);
    return [...this.#listed, ...lost];
  }
}
