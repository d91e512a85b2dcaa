import { createObjectSet, objectSchema } from "@coltsfootford/core";
import type {
  KeyValueClient,
  Watch,
  WatchBatch,
} from "@coltsfootford/platform";
import { z } from "zod";
import type {
  Blackboard,
  ConfigView,
  FieldWriter,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";

const HEAD_KEY = "coltsfoot/config/head";
const PART_PREFIX = "coltsfoot/config/part/";

const headSchema = z.looseObject({
  revision: z.int().positive(),
  parts: z.record(z.string(), z.string()),
});
const partSchema = z.array(objectSchema);

/** Parts of the daemon that the controller uses. */
export interface ConfigControllerParts {
  readonly blackboard: Blackboard;
  readonly keyValue: KeyValueClient;
  readonly logger: Logger;
}

/**
 * Follows the configuration in the key-value service and applies only higher
 * revisions. It alone writes `config`; it reads no other field.
 */
export class ConfigController extends Controller {
  override readonly name = "config";
  readonly #parts: ConfigControllerParts;
  readonly #config: FieldWriter<ConfigView>;
  #watch: Watch | undefined;

  constructor(parts: ConfigControllerParts) {
    super();
    this.#parts = parts;
    this.#config = parts.blackboard.config.claimWriter(this.name);
  }

  override start(): Promise<void> {
    this.#watch = this.#parts.keyValue.watch({
      selection: { key: HEAD_KEY },
      onBatch: (batch) => this.#follow(batch),
    });
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#watch?.close();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { revision: this.#parts.blackboard.config.read().revision };
  }

  async #follow(batch: WatchBatch): Promise<void> {
    const entries = batch.kind === "snapshot"
      ? batch.entries
      : batch.events.flatMap((event) =>
        event.kind === "put" ? [event.entry] : []
      );
    const last = entries.at(-1);
    if (last) await this.#applyHead(last.value);
  }

  async #applyHead(text: string): Promise<void> {
    const { logger, blackboard, keyValue } = this.#parts;
    const head = headSchema.parse(JSON.parse(text));
    if (head.revision <= blackboard.config.read().revision) {
      logger.event("configRefused", { revision: head.revision });
      return;
    }
    const objects = [];
    for (const digest of Object.values(head.parts)) {
      const part = await keyValue.get(PART_PREFIX + digest);
      if (part.isErr() || !part.value) {
        logger.event("configUnreachable", { digest });
        return;
      }
      objects.push(...partSchema.parse(JSON.parse(part.value.value)));
    }
    this.#config.write({
      revision: head.revision,
      objects: createObjectSet(objects),
    });
    logger.event("configApplied", { revision: head.revision });
  }
}
