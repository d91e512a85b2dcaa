import type { AttachedValue, Member } from "@coltsfootford/core";

/** What the keepers need of the membership. */
export interface KeeperMembership {
  /** Whether this daemon may act as a keeper now; false after a pause. */
  mandateValid(): boolean;

  /** Every daemon that is known, this one included. */
  members(): readonly Member[];

  /** Attaches a small value to this daemon, for all others to read. */
  attach(key: string, value: AttachedValue): void;

  /** The value that a daemon attached under `key`. */
  attached(vm: string, key: string): AttachedValue | undefined;
}
