import type { Member } from "@coltsfootford/core";

/** The part of the membership that the ownership of targets depends on. */
export interface OwnershipMembership {
  /** Whether this daemon may act as an owner now; false after a pause. */
  isMandateValid(): boolean;

  /** Every known daemon, including this one. */
  members(): readonly Member[];
}
