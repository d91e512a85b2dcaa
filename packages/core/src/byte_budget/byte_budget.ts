import {
  type ByteAccount,
  ByteHolding,
  type ByteKind,
} from "./byte_holding.ts";

export interface ByteBudgetOptions {
  readonly totalBytes: number;
  /** Fraction of `totalBytes` for request bodies. */
  readonly requestShare: number;
  /** Fraction of `totalBytes` for responses. */
  readonly responseShare: number;
}

interface KindAccount {
  readonly limitBytes: number;
  readonly holdings: Set<ByteHolding>;
  heldBytes: number;
  evictions: number;
}

/**
 * The account of the bytes that one daemon holds for clients and targets. A
 * charge that exceeds the share of its kind evicts holdings of that kind, so
 * that load of one kind leaves room for the other.
 */
export class ByteBudget {
  readonly #accounts: Readonly<Record<ByteKind, KindAccount>>;
  readonly #account: ByteAccount = {
    onCharged: (holding, bytes, nowMs) =>
      this.#onCharged(holding, bytes, nowMs),
    onDischarged: (holding, bytes) => {
      this.#accounts[holding.kind].heldBytes -= bytes;
    },
    onReleased: (holding) => this.#remove(holding),
  };

  constructor(options: ByteBudgetOptions) {
    if (options.requestShare + options.responseShare > 1) {
      throw new RangeError("the shares of the byte budget exceed 1 in total");
    }
    this.#accounts = {
      request: newKindAccount(options.totalBytes * options.requestShare),
      response: newKindAccount(options.totalBytes * options.responseShare),
    };
  }

  /**
   * `onEvicted` is called at most once, with the bytes that were held, and never
   * after `release`.
   */
  open(
    kind: ByteKind,
    onEvicted: (heldBytes: number) => void,
    nowMs: number,
  ): ByteHolding {
    const holding = new ByteHolding(kind, onEvicted, this.#account, nowMs);
    this.#accounts[kind].holdings.add(holding);
    return holding;
  }

  heldBytes(kind: ByteKind): number {
    return this.#accounts[kind].heldBytes;
  }

  limitBytes(kind: ByteKind): number {
    return this.#accounts[kind].limitBytes;
  }

  evictions(kind: ByteKind): number {
    return this.#accounts[kind].evictions;
  }

  #onCharged(charged: ByteHolding, bytes: number, nowMs: number): void {
    const account = this.#accounts[charged.kind];
    account.heldBytes += bytes;
    // Evicting others could not make room for a holding above the whole share.
    if (charged.heldBytes > account.limitBytes) {
      this.#evict(account, charged);
    }
    while (account.heldBytes > account.limitBytes) {
      const holding = nextToEvict(account, nowMs);
      if (holding === undefined) return;
      this.#evict(account, holding);
    }
  }

  #evict(account: KindAccount, holding: ByteHolding): void {
    const { heldBytes } = holding;
    holding.release();
    account.evictions += 1;
    holding.onEvicted(heldBytes);
  }

  #remove(holding: ByteHolding): void {
    const account = this.#accounts[holding.kind];
    account.heldBytes -= holding.heldBytes;
    account.holdings.delete(holding);
  }
}

function newKindAccount(bytes: number): KindAccount {
  return {
    limitBytes: Math.floor(bytes),
    holdings: new Set(),
    heldBytes: 0,
    evictions: 0,
  };
}

/**
 * Selects among the holdings of at least half the average size, so that small
 * requests, whose eviction frees little, are evicted last however long they
 * wait.
 */
function nextToEvict(
  account: KindAccount,
  nowMs: number,
): ByteHolding | undefined {
  const minBytes = account.heldBytes / account.holdings.size / 2;
  let selected: ByteHolding | undefined;
  let selectedScore = 0;
  for (const holding of account.holdings) {
    if (holding.heldBytes < minBytes) continue;
    const score = holding.evictionScore(nowMs);
    if (score <= selectedScore) continue;
    selected = holding;
    selectedScore = score;
  }
  return selected;
}
