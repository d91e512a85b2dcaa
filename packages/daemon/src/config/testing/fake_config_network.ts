import {
  createStepError,
  type StepError,
  type TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type {
  HeadResponse,
  PartRequest,
  PartResponse,
  RevisionMessage,
} from "../config_messages.ts";
import {
  type ConfigPeer,
  type ConfigPeerHandlers,
  ConfigPeers,
} from "../config_peers.ts";

/** Time after which a call without a response fails. */
const CALL_TIMEOUT_MS = 2_000;

interface Member {
  readonly vm: string;
  readonly zone: string;
  handlers: ConfigPeerHandlers | undefined;
}

/** Delivers the messages of the configuration between daemons of a test. */
export class FakeConfigNetwork {
  /** Bytes of parts sent so far. */
  partBytes = 0;
  readonly #timer: TimerService;
  readonly #members = new Map<string, Member>();
  readonly #isolated = new Set<string>();
  readonly #partitionedZones = new Set<string>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  join(vm: string, zone: string): ConfigPeers {
    const member: Member = { vm, zone, handlers: undefined };
    this.#members.set(vm, member);
    return new FakeConfigPeers(this, member);
  }

  /** Drops every message from and to a daemon. */
  isolate(vm: string): void {
    this.#isolated.add(vm);
  }

  /** Drops every message between a zone and the others. */
  partitionZone(zone: string): void {
    this.#partitionedZones.add(zone);
  }

  healPartitions(): void {
    this.#isolated.clear();
    this.#partitionedZones.clear();
  }

  list(self: Member): ConfigPeer[] {
    return [...this.#members.values()]
      .filter((member) => member !== self)
      .map(({ vm, zone }) => ({
        vm,
        isOwnZone: zone === self.zone,
        isLive: true,
      }));
  }

  /** Delivers a message with `invoke`; undefined if the message is lost. */
  async deliver<Response>(
    from: Member,
    to: string,
    invoke: (handlers: ConfigPeerHandlers) => Response,
  ): Promise<Result<Response, StepError>> {
    await Promise.resolve();
    const target = this.#members.get(to);
    if (target?.handlers && this.#canDeliver(from, target)) {
      return ok(invoke(target.handlers));
    }
    await new Promise<void>((resolve) => {
      this.#timer.after(CALL_TIMEOUT_MS, resolve);
    });
    return err(createStepError("maybe-sent", "peer.call", "no response"));
  }

  #canDeliver(from: Member, to: Member): boolean {
    if (this.#isolated.has(from.vm) || this.#isolated.has(to.vm)) return false;
    if (from.zone === to.zone) return true;
    return !this.#partitionedZones.has(from.zone) &&
      !this.#partitionedZones.has(to.zone);
  }
}

class FakeConfigPeers extends ConfigPeers {
  readonly #network: FakeConfigNetwork;
  readonly #self: Member;

  constructor(network: FakeConfigNetwork, self: Member) {
    super();
    this.#network = network;
    this.#self = self;
  }

  override list(): readonly ConfigPeer[] {
    return this.#network.list(this.#self);
  }

  override handle(handlers: ConfigPeerHandlers): void {
    this.#self.handlers = handlers;
  }

  override announce(vm: string, message: RevisionMessage): void {
    const { vm: from } = this.#self;
    void this.#network.deliver(
      this.#self,
      vm,
      (handlers) => handlers.onAnnounce(from, message),
    );
  }

  override poll(vm: string, message: RevisionMessage) {
    const { vm: from } = this.#self;
    return this.#network.deliver(
      this.#self,
      vm,
      (handlers) => handlers.onPoll(from, message),
    );
  }

  override getHead(vm: string): Promise<Result<HeadResponse, StepError>> {
    return this.#network.deliver(
      this.#self,
      vm,
      (handlers) => handlers.onHead(),
    );
  }

  override getParts(
    vm: string,
    request: PartRequest,
  ): Promise<Result<PartResponse, StepError>> {
    return this.#network.deliver(this.#self, vm, (handlers) => {
      const response = handlers.onParts(request);
      for (const text of Object.values(response.parts)) {
        this.#network.partBytes += text.length;
      }
      return response;
    });
  }
}
