import {
  type AppliedConfig,
  type CancelTimer,
  CONFIG_HEAD_KEY,
  ConfigFollower,
  findRelayPlace,
  type FollowerAction,
  parseJson,
  type RelayPlace,
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
import { answerParts } from "./answer_parts.ts";
import { collectHeads } from "./collect_heads.ts";
import type { HeadAnswer, RevisionMessage } from "./config_messages.ts";
import type { ConfigPeers } from "./config_peers.ts";
import {
  nameSource,
  PartFetcher,
  pickRandom,
  selectPeers,
} from "./part_fetcher.ts";

/** Time between two questions to another daemon. */
const POLL_PERIOD_MS = 2_000;
/** Every so many questions, a relay asks a daemon of another zone. */
const OTHER_ZONE_TURN = 2;
/** Time between two reads of the head by a relay, beside its watch. */
const RELAY_RECHECK_MS = 4_000;
/** The same for a daemon that does not watch. */
const RECHECK_MS = 60_000;
/** Parts of the daemon that the controller uses. */
export interface ConfigControllerParts {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly keyValue: KeyValueClient;
  readonly peers: ConfigPeers;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
}

/**
 * Follows the published configuration: relays watch the platform and pass a
 * new set on to the others of their zone. What to take is decided by
 * `ConfigFollower`. It alone writes `config`; it reads `daemons`.
 */
export class ConfigController extends Controller {
  override readonly name = "config";
  readonly #parts: ConfigControllerParts;
  readonly #config: FieldWriter<ConfigView>;
  readonly #follower = new ConfigFollower(sha256Hex);
  readonly #fetcher: PartFetcher;
  #place: RelayPlace = { isRelay: false, children: [] };
  #watch: Watch | undefined;
  #cancels: CancelTimer[] = [];
  #isFetching = false;
  #isPlatformReachable = true;
  #pollTurn = 0;

  constructor(parts: ConfigControllerParts) {
    super();
    this.#parts = parts;
    this.#config = parts.blackboard.config.claimWriter(this.name);
    this.#fetcher = new PartFetcher(parts.keyValue, parts.peers, parts.random);
    parts.peers.handle({
      onAnnounce: (from, message) => this.#onRevision(from, message),
      onPoll: (from, message) => this.#onPoll(from, message),
      onHead: () => this.#onHead(),
      onParts: (request) =>
        answerParts(request, (digest) => this.#follower.exportPart(digest)),
    });
  }

  override async start(): Promise<void> {
    const { timer, blackboard } = this.#parts;
    await this.#collectHeads();
    this.#cancels = [
      blackboard.daemons.subscribe(() => this.#takePlace()),
      timer.every(POLL_PERIOD_MS, () => void this.#pollPeer()),
      timer.every(RELAY_RECHECK_MS, () => this.#recheck(true)),
      timer.every(RECHECK_MS, () => this.#recheck(false)),
    ];
    this.#takePlace();
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
      isRelay: this.#place.isRelay,
      children: this.#place.children,
    };
  }

  async #collectHeads(): Promise<void> {
    const { peers, timer, random } = this.#parts;
    const readPlatformHead = () => this.#readHead();
    const offers = await collectHeads({
      peers,
      timer,
      random,
      readPlatformHead,
    });
    for (const { head, source } of offers) {
      await this.#carryOut(this.#follower.offerHead(head, source));
    }
  }

  /** Starts or ends the watch where the daemon's place has changed. */
  #takePlace(): void {
    const { vm, peers } = this.#parts;
    const own = peers.list().filter((peer) => peer.isOwnZone && peer.isLive);
    this.#place = findRelayPlace(vm, [vm, ...own.map((peer) => peer.vm)]);
    if (this.#place.isRelay && !this.#watch) {
      this.#watch = this.#parts.keyValue.watch({
        selection: { key: CONFIG_HEAD_KEY },
        onBatch: (batch) => this.#onBatch(batch),
      });
    }
    if (!this.#place.isRelay && this.#watch) {
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
    // An older head between two newer ones is of no use any more.
    const last = entries.at(-1);
    if (last) await this.#offerFromPlatform(parseJson(last.value));
  }

  #recheck(isForRelays: boolean): void {
    if (this.#place.isRelay === isForRelays) void this.#offerPlatformHead();
  }

  async #offerPlatformHead(): Promise<void> {
    const head = await this.#readHead();
    if (head) await this.#offerFromPlatform(head);
  }

  async #offerFromPlatform(head: unknown): Promise<void> {
    const source = { kind: "platform" } as const;
    await this.#carryOut(this.#follower.offerHead(head, source));
  }

  async #readHead(): Promise<unknown> {
    const answer = await this.#parts.keyValue.get(CONFIG_HEAD_KEY);
    if (answer.isErr()) {
      if (this.#isPlatformReachable) {
        const { message } = answer.error;
        this.#parts.logger.event("configUnreachable", { message });
      }
      this.#isPlatformReachable = false;
      return undefined;
    }
    this.#isPlatformReachable = true;
    return answer.value && parseJson(answer.value.value);
  }

  async #pollPeer(): Promise<void> {
    const { peers, random } = this.#parts;
    this.#pollTurn += 1;
    const isOtherZoneTurn = this.#place.isRelay &&
      this.#pollTurn % OTHER_ZONE_TURN === 0;
    const candidates = selectPeers(peers.list(), !isOtherZoneTurn);
    const [peer] = pickRandom(candidates, 1, random);
    if (!peer) return;
    const answer = await peers.poll(peer.vm, { revision: this.#revision() });
    if (answer.isOk()) this.#onRevision(peer.vm, answer.value);
  }

  #onPoll(from: string, message: RevisionMessage): RevisionMessage {
    this.#onRevision(from, message);
    return { revision: this.#revision() };
  }

  /** Fetches the head of a daemon that has a later set. */
  #onRevision(from: string, message: RevisionMessage): void {
    const pending = this.#follower.pendingHead?.revision ?? 0;
    const known = Math.max(this.#revision(), pending);
    if (message.revision > known) void this.#offerPeerHead(from);
  }

  async #offerPeerHead(vm: string): Promise<void> {
    const answer = await this.#parts.peers.getHead(vm);
    if (answer.isErr() || !answer.value.head) return;
    const source = { kind: "peer", vm } as const;
    await this.#carryOut(this.#follower.offerHead(answer.value.head, source));
  }

  #onHead(): HeadAnswer {
    return { head: this.#follower.applied?.head ?? null };
  }

  async #carryOut(actions: readonly FollowerAction[]): Promise<void> {
    this.#report(actions);
    const mustFetch = actions.some((action) => action.kind === "fetch-parts");
    if (mustFetch) await this.#fetchParts();
  }

  #report(actions: readonly FollowerAction[]): void {
    for (const action of actions) {
      if (action.kind === "apply") this.#apply(action.config);
      if (action.kind === "refuse") this.#logRefusal(action);
    }
  }

  /** Fetches until the set is in force; one run serves all pending heads. */
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
        if (actions.some(isWrongDigest)) excluded.add(nameSource(source));
        this.#report(actions);
      }
    }
    this.#isFetching = false;
  }

  /** The next poll, watch event or recheck offers a head again. */
  #abandonPending(): void {
    const revision = this.#follower.pendingHead?.revision;
    this.#parts.logger.event("configPartsMissing", { revision });
    this.#follower.abandonPending();
  }

  #apply(config: AppliedConfig): void {
    const { revision, nonce, publishedBy } = config.head;
    this.#config.write({ revision, nonce, objects: config.set });
    this.#parts.logger.event("configApplied", { revision, publishedBy });
    for (const child of this.#place.children) {
      this.#parts.peers.announce(child, { revision });
    }
  }

  #logRefusal(action: Extract<FollowerAction, { kind: "refuse" }>): void {
    const { reason, revision, message } = action;
    const source = nameSource(action.source);
    const fields = { reason, revision, source, message };
    this.#parts.logger.event("configRefused", fields);
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
