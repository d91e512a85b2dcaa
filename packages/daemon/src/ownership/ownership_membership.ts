import type { Member } from "@coltsfootford/core";

/** What the keepers need of the membership. */
export interface OwnershipMembership {
  /** Whether this daemon may act as a keeper now; false after a pause. */
  mandateValid(): boolean;

  /** Every daemon that is known, this one included. */
  members(): readonly Member[];
}
