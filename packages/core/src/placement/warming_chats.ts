/** How long a target that started empty turns unknown returning chats away. */
export const DEFAULT_WARMING_MS = 1_800_000;
/** Chats that are remembered for one warming target. */
const MAX_CHATS = 65_536;

/**
 * Keeps a target that has just started, or restarted with an empty cache, from
 * drawing chats away from the caches that they have elsewhere. The target's
 * keeper notes the chats that ran on it since. While the target is warming, a
 * returning chat that the keeper does not know goes to the next target of its
 * order, which was its home before; new chats stay. This is a hint: when it is
 * lost or wrong, a prefix is processed again.
 */
export class WarmingChats {
  readonly #endsAtMs: number;
  readonly #chatHashes = new Set<number>();

  constructor(startedAtMs: number, warmingMs = DEFAULT_WARMING_MS) {
    this.#endsAtMs = startedAtMs + warmingMs;
  }

  isWarming(nowMs: number): boolean {
    return nowMs < this.#endsAtMs;
  }

  /** Notes that a turn of the chat runs on the target. */
  noteRun(chatHash: number, nowMs: number): void {
    if (!this.isWarming(nowMs)) return this.#chatHashes.clear();
    if (this.#chatHashes.size >= MAX_CHATS) return;
    this.#chatHashes.add(chatHash);
  }

  /** Whether a returning chat should go to the next target instead. */
  shouldPassOn(chatHash: number, nowMs: number): boolean {
    return this.isWarming(nowMs) && !this.#chatHashes.has(chatHash);
  }
}
