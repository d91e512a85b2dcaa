import type { StepError } from "@coltsfootford/core";
import type { Result } from "neverthrow";
import { z } from "zod";
import type { Blackboard } from "../blackboard/index.ts";
import type { Peers } from "../peers/index.ts";
import {
  ANNOUNCE_METHOD,
  HEAD_METHOD,
  type HeadResponse,
  headResponseSchema,
  PART_METHOD,
  type PartRequest,
  partRequestSchema,
  type PartResponse,
  partResponseSchema,
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

/** The dependencies of `RpcConfigPeers`. */
export interface RpcConfigPeersDependencies {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  /** Daemons from the settings, in addition to those of the blackboard. */
  readonly seeds: readonly {
    readonly vm: string;
    readonly availabilityZone: string;
  }[];
}

/** Transports the messages of the configuration over the daemons' JSON-RPC. */
export class RpcConfigPeers extends ConfigPeers {
  readonly #dependencies: RpcConfigPeersDependencies;

  constructor(dependencies: RpcConfigPeersDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override list(): readonly ConfigPeer[] {
    const { vm, availabilityZone, blackboard, seeds } = this.#dependencies;
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
    const { peers } = this.#dependencies;
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
    this.#dependencies.peers.notify(vm, ANNOUNCE_METHOD, message);
  }

  override poll(
    vm: string,
    message: RevisionMessage,
  ): Promise<Result<RevisionMessage, StepError>> {
    return this.#dependencies.peers.call(
      vm,
      POLL_METHOD,
      message,
      revisionSchema,
    );
  }

  override getHead(vm: string): Promise<Result<HeadResponse, StepError>> {
    return this.#dependencies.peers.call(
      vm,
      HEAD_METHOD,
      {},
      headResponseSchema,
    );
  }

  override getParts(
    vm: string,
    request: PartRequest,
  ): Promise<Result<PartResponse, StepError>> {
    return this.#dependencies.peers.call(
      vm,
      PART_METHOD,
      request,
      partResponseSchema,
    );
  }
}
