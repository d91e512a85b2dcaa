import { formatStepError, RouteTable } from "@coltsfootford/core";
import type {
  KeyValueClient,
  KeyValueEntry,
  WatchPace,
} from "@coltsfootford/key-value";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type { ForwardingBoard } from "../board.ts";
import { FollowedPrefix } from "./followed_prefix.ts";
import type { KnowledgeCodec } from "./knowledge_codec.ts";

/**
 * A connection that went silent shows after a wait. That and the bound on
 * configurations fit into the time after which a daemon counts as in touch.
 */
const PACE: WatchPace = { minIntervalMs: 0, maxWaitMs: 3_500 };

/** Writes `routes`: the newest configuration that can be read. */
export class RoutesController extends Controller {
  override readonly name = "routes";
  readonly followed: FollowedPrefix;
  readonly #store: KeyValueClient;
  readonly #codec: KnowledgeCodec;
  readonly #log: Logger;
  readonly #writer;
  #version = -Infinity;
  #lastValue: string | undefined;

  constructor(
    board: ForwardingBoard,
    store: KeyValueClient,
    codec: KnowledgeCodec,
    log: Logger,
  ) {
    super();
    this.#store = store;
    this.#codec = codec;
    this.#log = log;
    this.#writer = board.routes.claimWriter(this.name);
    this.followed = new FollowedPrefix({
      prefix: codec.configKey,
      pace: PACE,
      onChange: (entries, isFromPeer) => this.#apply(entries, isFromPeer),
    });
  }

  override start(): Promise<void> {
    this.followed.start(this.#store);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.followed.stop();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { version: this.#version, revision: this.followed.revision };
  }

  #apply(entries: readonly KeyValueEntry[], isFromPeer: boolean): void {
    const entry = entries.find(({ key }) => key === this.#codec.configKey);
    if (!entry || entry.value === this.#lastValue) return;
    this.#lastValue = entry.value;
    const config = this.#codec.decodeConfig(entry.value);
    if (config.isErr()) {
      const error = formatStepError(config.error);
      this.#log.event("knowledgeRefused", { key: entry.key, error });
      return;
    }
    const { version } = config.value;
    if (version < this.#version) return;
    this.#version = version;
    this.#writer.write(new RouteTable(config.value));
    this.#log.event("knowledgeApplied", {
      version,
      revision: entry.modRevision,
      isFromPeer,
      routes: config.value.routes.length,
    });
  }
}
