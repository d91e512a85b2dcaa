import type { KeyValueEntry } from "@coltsfootford/key-value";
import { Controller } from "../../controllers/index.ts";
import { FollowedPrefix, type PrefixChange } from "./followed_prefix.ts";

/** A controller that processes the entries of one prefix of the store. */
export abstract class FollowingController extends Controller {
  readonly followed: FollowedPrefix;

  constructor(prefix: string) {
    super();
    this.followed = new FollowedPrefix({
      prefix,
      onChange: (entries, change) => this.applyEntries(entries, change),
    });
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  /** Processes all current entries of the prefix. */
  protected abstract applyEntries(
    entries: readonly KeyValueEntry[],
    change: PrefixChange,
  ): void;
}
