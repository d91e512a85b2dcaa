import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { type StoreRevision, VirtualTimerService } from "@coltsfootford/core";
import { ok } from "neverthrow";
import type { WatchBatch, WatchEvent } from "./key_value_types.ts";
import { WatchLoop, type WatchSink } from "./watch_loop.ts";

const LONG_POLL = { minIntervalMs: 1_000, maxWaitMs: 20_000 };

function putEvent(key: string, revision: number): WatchEvent {
  return {
    kind: "put",
    entry: {
      key,
      value: `value ${revision}`,
      createRevision: 1,
      modRevision: revision,
      version: 1,
      leaseId: "0",
    },
  };
}

/** A revision of the current era. */
function at(revision: number): StoreRevision {
  return { era: storeEra, revision };
}

let timer: VirtualTimerService;
let storeEra: number;
let loop: WatchLoop;
let storeRevision: number;
let opened: { readonly startRevision: number; readonly sink: WatchSink }[];
let batches: WatchBatch[];

function startLoop(hasLongPoll: boolean): void {
  loop = new WatchLoop({
    options: {
      selection: { prefix: "" },
      onBatch: (batch) => {
        batches.push(batch);
      },
      ...(hasLongPoll ? { longPoll: LONG_POLL } : {}),
    },
    timer,
    random: () => 1,
    range: () =>
      Promise.resolve(
        ok({ entries: [], hasMore: false, revision: at(storeRevision) }),
      ),
    open: (_selection, startRevision, sink) => {
      opened.push({ startRevision, sink });
      return () => {};
    },
  });
  loop.start();
}

/** Lets the promises of the loop settle and advances the clock. */
async function advance(durationMs: number): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  timer.advance(durationMs);
  await new Promise((resolve) => setImmediate(resolve));
}

beforeEach(() => {
  timer = new VirtualTimerService();
  storeEra = 1;
  storeRevision = 10;
  opened = [];
  batches = [];
});

afterEach(() => loop.close());

describe("a watch by long polls", () => {
  // Guards against a daemon that applies a configuration seconds too late since
  // it receives all versions in between over a narrow link.
  it("reads the current entries after a loss and not the history", async () => {
    startLoop(true);
    await advance(0);
    storeRevision = 90;
    opened[0]!.sink.onEnd("lost");
    await advance(1_000);
    expect(opened[1]!.startRevision).toBe(91);
    expect(batches.at(-1)).toMatchObject({
      kind: "snapshot",
      revision: at(90),
    });
  });

  // Guards against the same during a storm of configurations.
  it("reads the current entries after many versions of one key", async () => {
    startLoop(true);
    await advance(0);
    const versions = [11, 12, 13, 14, 15].map((revision) =>
      putEvent("config", revision)
    );
    opened[0]!.sink.onEvents(versions, at(15));
    storeRevision = 30;
    await advance(LONG_POLL.minIntervalMs);
    expect(opened[1]!.startRevision).toBe(31);
    expect(batches.at(-1)).toMatchObject({
      kind: "snapshot",
      revision: at(30),
    });
  });

  it("goes on with the history after changes of different keys", async () => {
    startLoop(true);
    await advance(0);
    const changes = [11, 12, 13, 14, 15].map((revision) =>
      putEvent(`key-${revision}`, revision)
    );
    opened[0]!.sink.onEvents(changes, at(15));
    await advance(LONG_POLL.minIntervalMs);
    expect(opened).toHaveLength(1);
  });
});

describe("a watch by a stream", () => {
  it("goes on with the history after a loss", async () => {
    startLoop(false);
    await advance(0);
    storeRevision = 90;
    opened[0]!.sink.onEnd("lost");
    await advance(1_000);
    expect(opened[1]!.startRevision).toBe(11);
  });
});

describe("a store that was restored from an older copy", () => {
  const restore = (revision: number) => {
    storeEra += 1;
    storeRevision = revision;
  };

  // Guards against a watch that goes on from a revision of the old history.
  it.each([5, 30])(
    "is read again where it is at revision %i and the watch at 10",
    async (revision) => {
      startLoop(true);
      await advance(0);
      restore(revision);
      opened[0]!.sink.onEvents([putEvent("config", 31)], at(revision));
      await advance(1_000);
      expect(batches.map(({ kind }) => kind)).toEqual(["snapshot", "snapshot"]);
      expect(batches.at(-1)!.revision).toEqual({ era: 2, revision });
      expect(opened[1]!.startRevision).toBe(revision + 1);
    },
  );
});
