import type { KeyValueClient, KeyValueEntry } from "@coltsfootford/key-value";
import { Controller } from "../../controllers/index.ts";
import { FollowedPrefix, type FollowOptions } from "./followed_prefix.ts";

/** A controller that follows one prefix of the store while it runs. */
export abstract class FollowingController extends Controller {
  readonly followed: FollowedPrefix;
  readonly #store: KeyValueClient;

  constructor(store: KeyValueClient, options: Omit<FollowOptions, "onChange">) {
    super();
    this.#store = store;
    this.followed = new FollowedPrefix({
      ...options,
      onChange: (entries, isFromPeer) => this.applyEntries(entries, isFromPeer),
    });
  }

  override start(): Promise<void> {
    this.followed.start(this.#store);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.followed.stop();
    return Promise.resolve();
  }

  /** Takes in the entries that there are now. */
  protected abstract applyEntries(
    entries: readonly KeyValueEntry[],
    isFromPeer: boolean,
  ): void;
}
