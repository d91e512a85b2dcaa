import type { StepError } from "@coltsfootford/core";
import type { Result } from "neverthrow";
import { z } from "zod";
import type { Blackboard } from "../blackboard/index.ts";
import type { Peers } from "../peers/index.ts";
import {
  ANNOUNCE_METHOD,
  HEAD_METHOD,
  type HeadAnswer,
  headAnswerSchema,
  PART_METHOD,
  type PartAnswer,
  partAnswerSchema,
  type PartRequest,
  partRequestSchema,
  POLL_METHOD,
  type RevisionMessage,
  revisionSchema,
} from "./config_messages.ts";
import {
  type ConfigPeer,
  type ConfigPeerHandlers,
  ConfigPeers,
} from "./config_peers.ts";

const noParametersSchema = z.strictObject({});

/** Parts of the daemon that the messages go through. */
export interface RpcConfigPeersParts {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  /** Daemons of the settings, beside those that the blackboard lists. */
  readonly seeds: readonly {
    readonly vm: string;
    readonly availabilityZone: string;
  }[];
}

/** Sends the messages of the configuration over the daemons' JSON-RPC. */
export class RpcConfigPeers extends ConfigPeers {
  readonly #parts: RpcConfigPeersParts;

  constructor(parts: RpcConfigPeersParts) {
    super();
    this.#parts = parts;
  }

  override list(): readonly ConfigPeer[] {
    const { vm, availabilityZone, blackboard, seeds } = this.#parts;
    const peers = new Map<string, ConfigPeer>();
    const add = (name: string, zone: string, isLive: boolean) => {
      if (name === vm) return;
      const isOwnZone = zone === availabilityZone;
      peers.set(name, { vm: name, isOwnZone, isLive });
    };
    for (const seed of seeds) add(seed.vm, seed.availabilityZone, false);
    for (const daemon of blackboard.daemons.read().values()) {
      const isLive = daemon.state === "live" || daemon.state === "leaving";
      add(daemon.vm, daemon.availabilityZone, isLive);
    }
    return [...peers.values()];
  }

  override handle(handlers: ConfigPeerHandlers): void {
    const { peers } = this.#parts;
    peers.handle(ANNOUNCE_METHOD, revisionSchema, (message, sender) => {
      handlers.onAnnounce(sender.vm, message);
    });
    peers.handle(
      POLL_METHOD,
      revisionSchema,
      (message, sender) => handlers.onPoll(sender.vm, message),
    );
    peers.handle(HEAD_METHOD, noParametersSchema, () => handlers.onHead());
    peers.handle(
      PART_METHOD,
      partRequestSchema,
      (request) => handlers.onParts(request),
    );
  }

  override announce(vm: string, message: RevisionMessage): void {
    this.#parts.peers.notify(vm, ANNOUNCE_METHOD, message);
  }

  override poll(
    vm: string,
    message: RevisionMessage,
  ): Promise<Result<RevisionMessage, StepError>> {
    return this.#parts.peers.call(vm, POLL_METHOD, message, revisionSchema);
  }

  override getHead(vm: string): Promise<Result<HeadAnswer, StepError>> {
    return this.#parts.peers.call(vm, HEAD_METHOD, {}, headAnswerSchema);
  }

  override getParts(
    vm: string,
    request: PartRequest,
  ): Promise<Result<PartAnswer, StepError>> {
    return this.#parts.peers.call(vm, PART_METHOD, request, partAnswerSchema);
  }
}
