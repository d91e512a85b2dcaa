import { formatStepError, RouteTable } from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import { z } from "zod";
import type { Logger } from "../../log/index.ts";
import type { ForwardingBlackboard } from "../forwarding_blackboard.ts";
import { FollowingController } from "./following_controller.ts";
import type { PrefixChange } from "./followed_prefix.ts";
import type { RetainedFacts } from "./retained_facts.ts";
import type { StoreRecordCodec } from "./store_record_codec.ts";

const ConfigInForceSchema = z.object({ value: z.string() });
type ConfigInForce = z.infer<typeof ConfigInForceSchema>;

/**
 * Writes `routes`: the newest configuration that can be decoded. It is newest by
 * its version: a restored store holds an older one until it is written again, so
 * daemons also pass on the one in force.
 */
export class RoutesController extends FollowingController
  implements RetainedFacts {
  override readonly name = "routes";
  readonly topic = "config.in-force";
  readonly #codec: StoreRecordCodec;
  readonly #log: Logger;
  readonly #writer;
  #version = -Infinity;
  #lastValue: string | undefined;
  #inForce: ConfigInForce | undefined;

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
    return { version: this.#version, ...this.followed.revision };
  }

  /** The version in force; undefined before the first one. */
  get version(): number | undefined {
    return this.#inForce && this.#version;
  }

  listFacts(): readonly ConfigInForce[] {
    return this.#inForce ? [this.#inForce] : [];
  }

  applyFact(fact: unknown): void {
    this.#applyValue(ConfigInForceSchema.parse(fact).value, true, undefined);
  }

  protected override applyEntries(
    entries: readonly KeyValueEntry[],
    { isFromPeer }: PrefixChange,
  ): void {
    const entry = entries.find(({ key }) => key === this.#codec.configKey);
    if (entry) this.#applyValue(entry.value, isFromPeer, entry.modRevision);
  }

  #applyValue(
    value: string,
    isFromPeer: boolean,
    revision: number | undefined,
  ): void {
    if (value === this.#lastValue) return;
    this.#lastValue = value;
    const { configKey } = this.#codec;
    const config = this.#codec.decodeConfig(value);
    if (config.isErr()) {
      const error = formatStepError(config.error);
      this.#log.event("knowledgeRefused", { key: configKey, error });
      return;
    }
    const { version } = config.value;
    if (version < this.#version) {
      this.#log.event("olderConfigIgnored", {
        version,
        inForce: this.#version,
        isFromPeer,
      });
      return;
    }
    this.#version = version;
    this.#inForce = { value };
    this.#writer.write(new RouteTable(config.value));
    this.#log.event("knowledgeApplied", {
      version,
      revision,
      isFromPeer,
      routes: config.value.routes.length,
    });
  }
}
