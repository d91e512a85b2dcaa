import { beforeEach, describe, expect, it } from "@jest/globals";
import { VirtualTimerService } from "@coltsfootford/core";
import type { Watch, WatchBatch, WatchOptions } from "@coltsfootford/key-value";
import { FakeKeyValue } from "@coltsfootford/key-value/testing";
import { ok } from "neverthrow";
import { FollowedPrefix } from "./followed_prefix.ts";
import { StoreFollowerController } from "./store_follower_controller.ts";

/** A store whose watch is played by the test. */
class PlayedStore extends FakeKeyValue {
  storeRevision = 1;
  probes = 0;
  reopened = 0;
  deliver: (batch: WatchBatch) => void = () => {};

  override watch(options: WatchOptions): Watch {
    this.deliver = (batch) => void options.onBatch(batch);
    return { reopen: () => this.reopened += 1, close: () => {} };
  }

  override readRevision() {
    this.probes += 1;
    return Promise.resolve(ok<number, never>(this.storeRevision));
  }
}

let timer: VirtualTimerService;
let store: PlayedStore;
let followed: FollowedPrefix;

beforeEach(async () => {
  timer = new VirtualTimerService();
  store = new PlayedStore(timer);
  followed = new FollowedPrefix({ prefix: "a/", onChange: () => {} });
  const log = { event: () => {} };
  const parts = { store, followed: [followed], timer, log };
  await new StoreFollowerController(parts).start();
  store.deliver({ kind: "snapshot", revision: 1, entries: [] });
});

/** Moves the time on in small steps, so that promises settle meanwhile. */
async function pass(durationMs: number, eachStep = () => {}): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
    eachStep();
    timer.advance(50);
    await Promise.resolve();
    await Promise.resolve();
  }
}

describe("StoreFollowerController", () => {
  it("leaves a watch alone that has missed nothing", async () => {
    await pass(10_000);
    expect(store.probes).toBeGreaterThan(7);
    expect(store.reopened).toBe(0);
  });

  it("opens a silent watch anew well within two seconds", async () => {
    await pass(3_000);
    store.storeRevision = 2;
    await pass(1_500);
    expect(store.reopened).toBe(1);
  });

  it("does not cut an answer that takes long to come", async () => {
    store.storeRevision = 2;
    await pass(5_000, () => {
      store.receivedAtMs = timer.nowMs() + 50;
    });
    expect(store.reopened).toBe(0);
  });

  it("spares the probes while the watch delivers", async () => {
    await pass(5_000, () => {
      store.storeRevision += 1;
      const revision = store.storeRevision;
      store.deliver({ kind: "events", revision, events: [] });
    });
    expect(store.probes).toBe(0);
  });
});

describe("FollowedPrefix", () => {
  it("counts only changes of its own prefix as changes", () => {
    const entry = (key: string, modRevision: number) => ({
      kind: "put" as const,
      entry: {
        key,
        value: "",
        createRevision: 1,
        modRevision,
        version: 1,
        leaseId: "0",
      },
    });
    followed.takeBatch({
      kind: "events",
      revision: 5,
      events: [entry("a/1", 5)],
    });
    followed.takeBatch({
      kind: "events",
      revision: 9,
      events: [entry("b/1", 9)],
    });
    expect([followed.revision, followed.changeRevision]).toEqual([9, 5]);
  });
});
