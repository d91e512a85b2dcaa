import type { ServerResponse } from "node:http";
import {
  isInRange,
  type KeyRange,
  type KeyValueStore,
  type StoreEvent,
} from "./key_value_store.ts";
import type { WatchRequest } from "./messages.ts";
import { createHeader, describeValue } from "./transactions.ts";

/** A client with more unsent data is disconnected and must watch again. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

interface Watcher {
  readonly range: KeyRange;
  readonly response: ServerResponse;
}

/** The open watches; their events are sent as newline-delimited JSON. */
export class Watchers {
  readonly #store: KeyValueStore;
  readonly #watchers = new Set<Watcher>();
  #isStalled = false;
  #heldEvents: StoreEvent[] = [];

  constructor(store: KeyValueStore) {
    this.#store = store;
  }

  get count(): number {
    return this.#watchers.size;
  }

  /** Holds events back while stalled; delivers them when no longer stalled. */
  set isStalled(isStalled: boolean) {
    this.#isStalled = isStalled;
    if (isStalled || this.#heldEvents.length === 0) return;
    const held = this.#heldEvents;
    this.#heldEvents = [];
    this.deliver(held);
  }

  open(request: WatchRequest, response: ServerResponse): void {
    const range = { key: request.key, rangeEnd: request.range_end };
    response.writeHead(200, { "content-type": "application/json" });
    response.on("error", () => {});
    this.#write(response, { created: true });
    const isCompacted = request.start_revision > 0 &&
      request.start_revision <= this.#store.compactRevision;
    if (isCompacted) {
      const compact_revision = String(this.#store.compactRevision);
      this.#write(response, { canceled: true, compact_revision });
      response.end();
      return;
    }
    const watcher = { range, response };
    this.#watchers.add(watcher);
    response.on("close", () => this.#watchers.delete(watcher));
    if (request.start_revision === 0) return;
    this.#send(
      watcher,
      this.#store.eventsSince(request.start_revision, range),
    );
  }

  deliver(events: readonly StoreEvent[]): void {
    if (this.#isStalled) {
      this.#heldEvents.push(...events);
      return;
    }
    for (const watcher of this.#watchers) {
      this.#send(
        watcher,
        events.filter((event) => isInRange(event.value.key, watcher.range)),
      );
    }
  }

  #send(watcher: Watcher, events: readonly StoreEvent[]): void {
    if (events.length === 0) return;
    if (watcher.response.writableLength > MAX_BUFFERED_BYTES) {
      watcher.response.destroy();
      return;
    }
    this.#write(watcher.response, {
      events: events.map((event) => ({
        ...(event.kind === "delete" ? { type: "DELETE" } : {}),
        kv: event.kind === "delete"
          ? {
            key: event.value.key.toString("base64"),
            mod_revision: String(event.value.modRevision),
          }
          : describeValue(event.value),
      })),
    });
  }

  #write(response: ServerResponse, result: Record<string, unknown>): void {
    const header = createHeader(this.#store.revision);
    response.write(`${JSON.stringify({ result: { header, ...result } })}\n`);
  }
}
