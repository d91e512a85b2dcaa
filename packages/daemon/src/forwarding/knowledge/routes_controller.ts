import { formatStepError, RouteTable } from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import type { Logger } from "../../log/index.ts";
import type { ForwardingBlackboard } from "../forwarding_blackboard.ts";
import { FollowingController } from "./following_controller.ts";
import type { StoreRecordCodec } from "./store_record_codec.ts";

/** Writes `routes`: the newest configuration that can be decoded. */
export class RoutesController extends FollowingController {
  override readonly name = "routes";
  readonly #codec: StoreRecordCodec;
  readonly #log: Logger;
  readonly #writer;
  #version = -Infinity;
  #lastValue: string | undefined;

  constructor(
    blackboard: ForwardingBlackboard,
    codec: StoreRecordCodec,
    log: Logger,
  ) {
    super(codec.configKey);
    this.#codec = codec;
    this.#log = log;
    this.#writer = blackboard.routes.claimWriter(this.name);
  }

  override dumpState(): unknown {
    return { version: this.#version, revision: this.followed.revision };
  }

  protected override applyEntries(
    entries: readonly KeyValueEntry[],
    isFromPeer: boolean,
  ): void {
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
