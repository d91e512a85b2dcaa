import type { JSONRPCServer } from "json-rpc-2.0";
import {
  INITIAL_REVISION,
  isLater,
  type StoreHistory,
  type StoreRevision,
  StoreRevisionSchema,
  type TimerService,
} from "@coltsfootford/core";
import { z } from "zod";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import { type CallPeer, callPeer } from "./call_peer.ts";
import {
  EntrySchema,
  type FollowedPrefix,
  type PrefixSnapshot,
} from "./followed_prefix.ts";
import type { RetainedFacts } from "./retained_facts.ts";

/** How often a daemon that can't reach the store sends a request to a peer. */
const PEER_REQUEST_PERIOD_MS = 500;

const SnapshotSchema = z.object({
  revision: StoreRevisionSchema,
  entries: z.array(EntrySchema),
});
const SyncResponseSchema = z.object({
  isStoreReachable: z.boolean(),
  /** Whether entries may be missing that lapsed while the store was away. */
  isAfterOutage: z.boolean().default(false),
  copies: z.record(z.string(), SnapshotSchema),
  /** By topic. */
  facts: z.record(z.string(), z.array(z.unknown())).default({}),
});
type SyncResponse = z.infer<typeof SyncResponseSchema>;
const SyncRequestSchema = z.object({
  /** By prefix: the point up to which the sender knows its entries. */
  revisions: z.record(z.string(), StoreRevisionSchema),
  /** By topic: the version of the facts that the sender knows. */
  factVersions: z.record(z.string(), z.number()),
});
type SyncRequest = z.infer<typeof SyncRequestSchema>;

/** Dependencies of a `PeerSyncController`. */
export interface PeerSyncDependencies {
  readonly rpc: JSONRPCServer;
  readonly blackboard: ForwardingBlackboard;
  /** Prefixes whose snapshots daemons exchange. */
  readonly followed: readonly FollowedPrefix[];
  /** Facts that daemons announce to each other, apart from the store. */
  readonly retainedFacts: readonly RetainedFacts[];
  /** Whether entries may be missing that lapsed while the store was away. */
  readonly isAfterOutage: () => boolean;
  readonly history: StoreHistory;
  /** Calls another daemon; over HTTP where absent. */
  readonly callPeer?: CallPeer;
  /** Daemons to contact while no peer is known. */
  readonly seeds: readonly PeerDaemon[];
  readonly timer: TimerService;
  readonly log: Logger;
  readonly random: () => number;
}

/**
 * Writes `peerContactAtMs`, and exchanges snapshots of the followed prefixes
 * and retained facts between daemons. A daemon that can't reach the store
 * requests them from a random peer. A daemon that reaches the store sends one
 * request, for the facts that were announced while it was away.
 */
export class PeerSyncController extends Controller {
  override readonly name = "peer-knowledge";
  readonly #dependencies: PeerSyncDependencies;
  readonly #writer;
  #cancel: () => void = () => {};
  #isRequestPending = false;
  /** Whether a peer's facts were received since the store was last lost. */
  #hasCurrentFacts = false;
  /** The era of the store when facts were requested last. */
  #factsEra = 0;
  #appliedSnapshots = 0;

  constructor(dependencies: PeerSyncDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#writer = dependencies.blackboard.peerContactAtMs.claimWriter(
      this.name,
    );
    dependencies.rpc.addMethod("knowledge.later", (params: unknown) => {
      return this.#findNewerSnapshots(SyncRequestSchema.parse(params));
    });
  }

  override start(): Promise<void> {
    this.#cancel = this.#dependencies.timer.every(
      PEER_REQUEST_PERIOD_MS,
      () => void this.#requestIfBehind(),
    );
    void this.#requestIfBehind();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { copiesTaken: this.#appliedSnapshots };
  }

  #findNewerSnapshots({ revisions, factVersions }: SyncRequest) {
    const { isReachable } = this.#dependencies.blackboard.storeContact.read();
    const copies: Record<string, PrefixSnapshot> = {};
    for (const followed of this.#dependencies.followed) {
      const known = revisions[followed.prefix] ?? INITIAL_REVISION;
      if (!isLater(followed.changeRevision, known)) continue;
      copies[followed.prefix] = followed.snapshot();
    }
    const facts = Object.fromEntries(
      this.#dependencies.retainedFacts
        .filter(({ topic, version }) =>
          version === undefined || version > (factVersions[topic] ?? -Infinity)
        )
        .map((retained) => [retained.topic, retained.listFacts()]),
    );
    const isAfterOutage = this.#dependencies.isAfterOutage();
    return { isStoreReachable: isReachable, isAfterOutage, copies, facts };
  }

  async #requestIfBehind(): Promise<void> {
    const { blackboard, log } = this.#dependencies;
    const { isReachable } = blackboard.storeContact.read();
    const { era } = this.#dependencies.history.latest;
    if (!isReachable || era !== this.#factsEra) this.#hasCurrentFacts = false;
    this.#factsEra = era;
    if (this.#hasCurrentFacts || this.#isRequestPending) return;
    const peer = this.#pickPeer();
    if (!peer) return;
    this.#isRequestPending = true;
    try {
      this.#applyResponse(
        peer,
        SyncResponseSchema.parse(await this.#requestNewerSnapshots(peer)),
      );
      this.#hasCurrentFacts = isReachable;
    } catch (cause) {
      const error = (cause as Error).message;
      log.event("peerUnreachable", { peer: peer.name, error });
    } finally {
      this.#isRequestPending = false;
    }
  }

  #requestNewerSnapshots(peer: PeerDaemon): PromiseLike<unknown> {
    const { followed, retainedFacts } = this.#dependencies;
    const revisions: Record<string, StoreRevision> = {};
    for (const { prefix, revision } of followed) revisions[prefix] = revision;
    const factVersions: Record<string, number> = {};
    for (const { topic, version } of retainedFacts) {
      if (version !== undefined) factVersions[topic] = version;
    }
    const request: SyncRequest = { revisions, factVersions };
    const call = this.#dependencies.callPeer ?? callPeer;
    return call(peer, "knowledge.later", request);
  }

  #applyResponse(
    peer: PeerDaemon,
    { isStoreReachable, isAfterOutage, copies, facts }: SyncResponse,
  ): void {
    for (const retained of this.#dependencies.retainedFacts) {
      for (const fact of facts[retained.topic] ?? []) {
        this.#applyFact(retained, fact, peer);
      }
    }
    if (isStoreReachable) this.#writer.write(this.#dependencies.timer.nowMs());
    for (const followed of this.#dependencies.followed) {
      const snapshot = copies[followed.prefix];
      if (!snapshot || !followed.applySnapshot(snapshot, isAfterOutage)) {
        continue;
      }
      this.#dependencies.history.learn(snapshot.revision);
      this.#appliedSnapshots += 1;
      this.#dependencies.log.event("peerKnowledgeTaken", {
        peer: peer.name,
        prefix: followed.prefix,
        ...snapshot.revision,
      });
    }
  }

  /** A malformed fact does not keep the others from being applied. */
  #applyFact(retained: RetainedFacts, fact: unknown, peer: PeerDaemon): void {
    try {
      retained.applyFact(fact);
    } catch (cause) {
      this.#dependencies.log.event("knowledgeRefused", {
        key: retained.topic,
        peer: peer.name,
        error: (cause as Error).message,
      });
    }
  }

  #pickPeer(): PeerDaemon | undefined {
    const { blackboard, seeds, random } = this.#dependencies;
    const known = blackboard.peers.read();
    const peers = known.length > 0 ? known : seeds;
    return peers[Math.floor(random() * peers.length)];
  }
}
