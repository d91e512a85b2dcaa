import {
  type AppliedConfig,
  type CancelTimer,
  CONFIG_HEAD_KEY,
  ConfigFollower,
  findRelayRole,
  type FollowerAction,
  parseJson,
  type RelayRole,
  type TimerService,
} from "@coltsfootford/core";
import type {
  KeyValueClient,
  Watch,
  WatchBatch,
} from "@coltsfootford/key-value";
import { createHash } from "node:crypto";
import type {
  Blackboard,
  ConfigView,
  FieldWriter,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import { createPartResponse } from "./part_response.ts";
import { collectHeads } from "./collect_heads.ts";
import type { HeadResponse, RevisionMessage } from "./config_messages.ts";
import type { ConfigPeers } from "./config_peers.ts";
import {
  formatSource,
  PartFetcher,
  pickRandom,
  selectPeers,
} from "./part_fetcher.ts";

/** Time between two polls of another daemon. */
const POLL_PERIOD_MS = 2_000;
/** One in this many polls of a relay goes to a daemon of another zone. */
const POLLS_PER_OTHER_ZONE_POLL = 2;
/** Time between two reads of the head by a relay, in addition to its watch. */
const RELAY_RECHECK_PERIOD_MS = 4_000;
/** Time between two reads of the head by a daemon that does not watch. */
const RECHECK_PERIOD_MS = 60_000;

/** The dependencies of a `ConfigController`. */
export interface ConfigControllerDependencies {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly keyValue: KeyValueClient;
  readonly peers: ConfigPeers;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
}

/**
 * Follows the published configuration. Relays watch the platform and announce
 * a new configuration to the other daemons of their zone. `ConfigFollower`
 * decides which configuration is applied. The controller reads `daemons`, and
 * is the only writer of `config`.
 */
export class ConfigController extends Controller {
  override readonly name = "config";
  readonly #dependencies: ConfigControllerDependencies;
  readonly #config: FieldWriter<ConfigView>;
  readonly #follower = new ConfigFollower(sha256Hex);
  readonly #fetcher: PartFetcher;
  #relayRole: RelayRole = { isRelay: false, children: [] };
  #watch: Watch | undefined;
  #cancels: CancelTimer[] = [];
  #isFetching = false;
  #isPlatformReachable = true;
  #pollCount = 0;

  constructor(dependencies: ConfigControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#config = dependencies.blackboard.config.claimWriter(this.name);
    this.#fetcher = new PartFetcher(
      dependencies.keyValue,
      dependencies.peers,
      dependencies.random,
    );
    dependencies.peers.handle({
      onAnnounce: (from, message) => this.#onRevision(from, message),
      onPoll: (from, message) => this.#onPoll(from, message),
      onHead: () => this.#onHead(),
      onParts: (request) =>
        createPartResponse(
          request,
          (digest) => this.#follower.exportPart(digest),
        ),
    });
  }

  override async start(): Promise<void> {
    const { timer, blackboard } = this.#dependencies;
    await this.#collectHeads();
    this.#cancels = [
      blackboard.daemons.subscribe(() => this.#updateRelayRole()),
      timer.every(POLL_PERIOD_MS, () => void this.#pollPeer()),
      timer.every(RELAY_RECHECK_PERIOD_MS, () => this.#recheck(true)),
      timer.every(RECHECK_PERIOD_MS, () => this.#recheck(false)),
    ];
    this.#updateRelayRole();
  }

  override stop(): Promise<void> {
    for (const cancel of this.#cancels.splice(0)) cancel();
    this.#watch?.close();
    this.#watch = undefined;
    return Promise.resolve();
  }

  override dumpState(): unknown {
    const head = this.#follower.applied?.head;
    return {
      revision: this.#revision(),
      nonce: head?.nonce,
      publishedBy: head?.publishedBy,
      publishedAtMs: head?.publishedAtMs,
      pendingRevision: this.#follower.pendingHead?.revision,
      isPlatformReachable: this.#isPlatformReachable,
      isRelay: this.#relayRole.isRelay,
      children: this.#relayRole.children,
    };
  }

  async #collectHeads(): Promise<void> {
    const { peers, timer, random } = this.#dependencies;
    const readPlatformHead = () => this.#readHead();
    const offers = await collectHeads({
      peers,
      timer,
      random,
      readPlatformHead,
    });
    for (const { head, source } of offers) {
      await this.#execute(this.#follower.offerHead(head, source));
    }
  }

  /** Recomputes this daemon's role in the relay tree; only relays watch. */
  #updateRelayRole(): void {
    const { vm, peers } = this.#dependencies;
    const own = peers.list().filter((peer) => peer.isOwnZone && peer.isLive);
    this.#relayRole = findRelayRole(vm, [vm, ...own.map((peer) => peer.vm)]);
    if (this.#relayRole.isRelay && !this.#watch) {
      this.#watch = this.#dependencies.keyValue.watch({
        selection: { key: CONFIG_HEAD_KEY },
        onBatch: (batch) => this.#onBatch(batch),
      });
    }
    if (!this.#relayRole.isRelay && this.#watch) {
      this.#watch.close();
      this.#watch = undefined;
    }
  }

  async #onBatch(batch: WatchBatch): Promise<void> {
    const entries = batch.kind === "snapshot"
      ? batch.entries
      : batch.events.flatMap((event) =>
        event.kind === "put" ? [event.entry] : []
      );
    // Only the last head matters: it replaces the earlier ones of the batch.
    const last = entries.at(-1);
    if (last) await this.#offerFromPlatform(parseJson(last.value));
  }

  /** Reads the platform's head if `isRelay` matches this daemon's role. */
  #recheck(isRelay: boolean): void {
    if (this.#relayRole.isRelay === isRelay) void this.#offerPlatformHead();
  }

  async #offerPlatformHead(): Promise<void> {
    const head = await this.#readHead();
    if (head) await this.#offerFromPlatform(head);
  }

  async #offerFromPlatform(head: unknown): Promise<void> {
    const source = { kind: "platform" } as const;
    await this.#execute(this.#follower.offerHead(head, source));
  }

  async #readHead(): Promise<unknown> {
    const response = await this.#dependencies.keyValue.get(CONFIG_HEAD_KEY);
    if (response.isErr()) {
      if (this.#isPlatformReachable) {
        const { message } = response.error;
        this.#dependencies.logger.event("configUnreachable", { message });
      }
      this.#isPlatformReachable = false;
      return undefined;
    }
    this.#isPlatformReachable = true;
    return response.value && parseJson(response.value.value);
  }

  async #pollPeer(): Promise<void> {
    const { peers, random } = this.#dependencies;
    this.#pollCount += 1;
    const isOtherZonePoll = this.#relayRole.isRelay &&
      this.#pollCount % POLLS_PER_OTHER_ZONE_POLL === 0;
    const candidates = selectPeers(peers.list(), !isOtherZonePoll);
    const [peer] = pickRandom(candidates, 1, random);
    if (!peer) return;
    const response = await peers.poll(peer.vm, { revision: this.#revision() });
    if (response.isOk()) this.#onRevision(peer.vm, response.value);
  }

  #onPoll(from: string, message: RevisionMessage): RevisionMessage {
    this.#onRevision(from, message);
    return { revision: this.#revision() };
  }

  /** Fetches the head of a daemon that reports a higher revision. */
  #onRevision(from: string, message: RevisionMessage): void {
    const pending = this.#follower.pendingHead?.revision ?? 0;
    const known = Math.max(this.#revision(), pending);
    if (message.revision > known) void this.#offerPeerHead(from);
  }

  async #offerPeerHead(vm: string): Promise<void> {
    const response = await this.#dependencies.peers.getHead(vm);
    if (response.isErr() || !response.value.head) return;
    const source = { kind: "peer", vm } as const;
    await this.#execute(this.#follower.offerHead(response.value.head, source));
  }

  #onHead(): HeadResponse {
    return { head: this.#follower.applied?.head ?? null };
  }

  async #execute(actions: readonly FollowerAction[]): Promise<void> {
    this.#processActions(actions);
    const mustFetch = actions.some((action) => action.kind === "fetch-parts");
    if (mustFetch) await this.#fetchParts();
  }

  #processActions(actions: readonly FollowerAction[]): void {
    for (const action of actions) {
      if (action.kind === "apply") this.#apply(action.config);
      if (action.kind === "refuse") this.#logRejection(action);
    }
  }

  /**
   * Fetches parts until the pending configuration is applied. A single loop
   * serves all pending heads.
   */
  async #fetchParts(): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const excluded = new Set<string>();
    for (;;) {
      const wanted = this.#follower.wantedParts;
      if (!wanted || wanted.digests.length === 0) break;
      const parts = await this.#fetcher.fetchSome(wanted, excluded);
      if (parts.length === 0) {
        this.#abandonPending();
        break;
      }
      for (const { digest, text, source } of parts) {
        const actions = this.#follower.offerPart(digest, text, source);
        if (actions.some(isWrongDigest)) excluded.add(formatSource(source));
        this.#processActions(actions);
      }
    }
    this.#isFetching = false;
  }

  /**
   * Abandons the pending head. The next poll, watch event or recheck offers a
   * head again.
   */
  #abandonPending(): void {
    const revision = this.#follower.pendingHead?.revision;
    this.#dependencies.logger.event("configPartsMissing", { revision });
    this.#follower.abandonPending();
  }

  #apply(config: AppliedConfig): void {
    const { revision, nonce, publishedBy } = config.head;
    this.#config.write({ revision, nonce, objects: config.set });
    this.#dependencies.logger.event("configApplied", { revision, publishedBy });
    for (const child of this.#relayRole.children) {
      this.#dependencies.peers.announce(child, { revision });
    }
  }

  #logRejection(action: Extract<FollowerAction, { kind: "refuse" }>): void {
    const { reason, revision, message } = action;
    const source = formatSource(action.source);
    const fields = { reason, revision, source, message };
    this.#dependencies.logger.event("configRefused", fields);
  }

  #revision(): number {
    return this.#follower.applied?.head.revision ?? 0;
  }
}

function isWrongDigest(action: FollowerAction): boolean {
  return action.kind === "refuse" && action.reason === "wrong-digest";
}

function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
