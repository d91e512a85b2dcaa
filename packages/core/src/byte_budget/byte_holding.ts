/** What a holding's bytes are held for; each kind has its own share. */
export type ByteKind = "request" | "response";

/** The part of the account that a holding reports to. */
export interface ByteAccount {
  readonly onCharged: (
    holding: ByteHolding,
    bytes: number,
    nowMs: number,
  ) => void;
  readonly onDischarged: (holding: ByteHolding, bytes: number) => void;
  readonly onReleased: (holding: ByteHolding) => void;
}

/**
 * The bytes that one body or response holds. Charges and discharges after the
 * holding was released or evicted have no effect, because data may still arrive
 * until its connection is closed.
 */
export class ByteHolding {
  #heldBytes = 0;
  #idleSinceMs: number;
  #isOpen = true;

  constructor(
    readonly kind: ByteKind,
    readonly onEvicted: (heldBytes: number) => void,
    private readonly account: ByteAccount,
    nowMs: number,
  ) {
    this.#idleSinceMs = nowMs;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** False after the holding was released or evicted. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** May evict holdings of the same kind, this one included. */
  charge(bytes: number, nowMs: number): void {
    if (!this.#isOpen || bytes <= 0) return;
    const before = this.#heldBytes;
    this.#heldBytes += bytes;
    this.#makeProgress(before / this.#heldBytes, nowMs);
    this.account.onCharged(this, bytes, nowMs);
  }

  discharge(bytes: number, nowMs: number): void {
    if (!this.#isOpen || bytes <= 0) return;
    const discharged = Math.min(bytes, this.#heldBytes);
    if (discharged === 0) return;
    this.#makeProgress(1 - discharged / this.#heldBytes, nowMs);
    this.#heldBytes -= discharged;
    this.account.onDischarged(this, discharged);
  }

  release(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.account.onReleased(this);
    this.#heldBytes = 0;
  }

  /**
   * Bytes held times the milliseconds without progress. Without the added
   * millisecond, holdings that have all just made progress would rank equal
   * whatever they hold.
   */
  evictionScore(nowMs: number): number {
    return this.#heldBytes * (Math.max(0, nowMs - this.#idleSinceMs) + 1);
  }

  /**
   * Shortens the idle time in proportion to the bytes that moved. A client that
   * sends or reads single bytes of a large body would otherwise count as one
   * that makes progress.
   */
  #makeProgress(remainingShare: number, nowMs: number): void {
    const idleMs = Math.max(0, nowMs - this.#idleSinceMs);
    this.#idleSinceMs = nowMs - idleMs * remainingShare;
  }
}
