import type { JSONRPCServer } from "json-rpc-2.0";
import type { TimerService } from "@coltsfootford/core";
import { z } from "zod";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import { callPeer } from "./call_peer.ts";
import type { FollowedPrefix, PrefixCopy } from "./followed_prefix.ts";

/** How often a daemon that the store leaves without answers asks a peer. */
const ASK_PERIOD_MS = 500;

const EntrySchema = z.object({
  key: z.string(),
  value: z.string(),
  createRevision: z.number(),
  modRevision: z.number(),
  version: z.number(),
  leaseId: z.string(),
});
const CopySchema = z.object({
  revision: z.number(),
  entries: z.array(EntrySchema),
});
const LaterSchema = z.object({
  isStoreReachable: z.boolean(),
  copies: z.record(z.string(), CopySchema),
});
type Later = z.infer<typeof LaterSchema>;
const AskSchema = z.record(z.string(), z.number());

/** The parts of the controller. */
export interface PeerKnowledgeParts {
  readonly rpc: JSONRPCServer;
  readonly blackboard: ForwardingBlackboard;
  /** Prefixes that daemons hand over to one another. */
  readonly followed: readonly FollowedPrefix[];
  /** Daemons to ask while no peer is known. */
  readonly seeds: readonly PeerDaemon[];
  readonly timer: TimerService;
  readonly log: Logger;
  readonly random: () => number;
}

/**
 * Writes `peerContactAtMs`, and hands knowledge over between daemons. A daemon
 * that the store turns away asks a peer for later copies of what it follows;
 * while the store answers, nothing is sent.
 */
export class PeerKnowledgeController extends Controller {
  override readonly name = "peer-knowledge";
  readonly #parts: PeerKnowledgeParts;
  readonly #writer;
  #cancel: () => void = () => {};
  #isAsking = false;
  #taken = 0;

  constructor(parts: PeerKnowledgeParts) {
    super();
    this.#parts = parts;
    this.#writer = parts.blackboard.peerContactAtMs.claimWriter(this.name);
    parts.rpc.addMethod("knowledge.later", (params: unknown) => {
      return this.#laterThan(AskSchema.parse(params));
    });
  }

  override start(): Promise<void> {
    this.#cancel = this.#parts.timer.every(
      ASK_PERIOD_MS,
      () => void this.#askIfCutOff(),
    );
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { copiesTaken: this.#taken };
  }

  #laterThan(known: Record<string, number>) {
    const { isReachable } = this.#parts.blackboard.storeContact.read();
    const copies: Record<string, PrefixCopy> = {};
    for (const followed of this.#parts.followed) {
      const knownRevision = known[followed.prefix] ?? 0;
      if (followed.changeRevision <= knownRevision) continue;
      copies[followed.prefix] = followed.copy();
    }
    return { isStoreReachable: isReachable, copies };
  }

  async #askIfCutOff(): Promise<void> {
    const { blackboard: blackboard, log } = this.#parts;
    if (blackboard.storeContact.read().isReachable || this.#isAsking) return;
    const peer = this.#pickPeer();
    if (!peer) return;
    this.#isAsking = true;
    try {
      this.#take(peer, LaterSchema.parse(await this.#ask(peer)));
    } catch (cause) {
      const error = (cause as Error).message;
      log.event("peerUnreachable", { peer: peer.name, error });
    } finally {
      this.#isAsking = false;
    }
  }

  #ask(peer: PeerDaemon): PromiseLike<unknown> {
    const known = Object.fromEntries(
      this.#parts.followed.map(({ prefix, revision }) => [prefix, revision]),
    );
    return callPeer(peer, "knowledge.later", known);
  }

  #take(peer: PeerDaemon, { isStoreReachable, copies }: Later): void {
    if (isStoreReachable) this.#writer.write(this.#parts.timer.nowMs());
    for (const followed of this.#parts.followed) {
      const copy = copies[followed.prefix];
      if (!copy || !followed.takeCopy(copy)) continue;
      this.#taken += 1;
      this.#parts.log.event("peerKnowledgeTaken", {
        peer: peer.name,
        prefix: followed.prefix,
        revision: copy.revision,
      });
    }
  }

  #pickPeer(): PeerDaemon | undefined {
    const { blackboard: blackboard, seeds, random } = this.#parts;
    const known = blackboard.peers.read();
    const peers = known.length > 0 ? known : seeds;
    return peers[Math.floor(random() * peers.length)];
  }
}
