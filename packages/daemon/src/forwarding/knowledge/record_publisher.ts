import { formatStepError, orderByRendezvous } from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";

/** Time after which a quarantine ends and its record is deleted. */
export const QUARANTINE_TTL_MS = 600_000;
/** Daemons that write each record, so that one may be unavailable. */
const PUBLISHERS = 2;

/** Dependencies of a `RecordPublisher`. */
export interface RecordPublisherDependencies {
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  readonly store: KeyValueClient;
  readonly log: Logger;
}

/**
 * Writes quarantine records to the store that all daemons know of already, for
 * daemons that start later. Rendezvous hashing selects who writes a record.
 * Records have no lease: one that ended in an outage of the store would look as
 * if an operator had deleted the record.
 */
export class RecordPublisher {
  readonly #dependencies: RecordPublisherDependencies;
  #isUpdating = false;

  constructor(dependencies: RecordPublisherDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Writes the wanted records that are missing in the store, and deletes the
   * obsolete ones. A failure is logged; the next call tries again.
   */
  async update(
    wanted: ReadonlyMap<string, string>,
    published: ReadonlySet<string>,
    obsolete: readonly string[] = [],
  ): Promise<void> {
    if (this.#isUpdating) return;
    this.#isUpdating = true;
    for (const [key, value] of wanted) {
      if (!published.has(key) && this.#isPublisher(key)) {
        await this.#put(key, value);
      }
    }
    for (const key of obsolete) {
      if (this.#isPublisher(key)) await this.#delete(key);
    }
    this.#isUpdating = false;
  }

  #isPublisher(key: string): boolean {
    const { self, blackboard } = this.#dependencies;
    const peers = blackboard.peers.read().map(({ name }) => name);
    return orderByRendezvous(key, [...peers, self.name])
      .slice(0, PUBLISHERS).includes(self.name);
  }

  async #put(key: string, value: string): Promise<void> {
    const { store, log } = this.#dependencies;
    const put = await store.put(key, value);
    if (put.isOk()) return;
    log.event("quarantineFailed", { key, error: formatStepError(put.error) });
  }

  async #delete(key: string): Promise<void> {
    const { store, log } = this.#dependencies;
    const deletion = await store.delete(key);
    if (deletion.isOk()) return;
    const error = formatStepError(deletion.error);
    log.event("quarantineFailed", { key, error });
  }
}
