import { beforeEach, describe, expect, it } from "@jest/globals";
import { type StoreRevision, VirtualTimerService } from "@coltsfootford/core";
import type { Watch, WatchBatch, WatchOptions } from "@coltsfootford/key-value";
import { createKeyValueError } from "@coltsfootford/key-value";
import { FakeKeyValue } from "@coltsfootford/key-value/testing";
import { err, ok } from "neverthrow";
import { FollowedPrefix } from "./followed_prefix.ts";
import { StoreFollowerController } from "./store_follower_controller.ts";

/** A store whose watch events and revision are set by the test. */
class ControlledStore extends FakeKeyValue {
  storeRevision = 1;
  storeEra = 1;
  probes = 0;
  reopened = 0;
  reconnected = 0;
  /** Number of next probes whose responses are lost. */
  lostProbes = 0;
  deliver: (batch: WatchBatch) => void = () => {};

  override watch(options: WatchOptions): Watch {
    this.deliver = (batch) => void options.onBatch(batch);
    return {
      reopen: () => this.reopened += 1,
      reconnect: () => this.reconnected += 1,
      close: () => {},
    };
  }

  override readRevision() {
    this.probes += 1;
    if (this.faults.isDown) return super.readRevision();
    if (this.lostProbes > 0) {
      this.lostProbes -= 1;
      return Promise.resolve(
        err(createKeyValueError("answer-lost", "probe", "store", "no bytes")),
      );
    }
    return Promise.resolve(ok<StoreRevision, never>(
      this.history.placeStale({
        revision: this.storeRevision,
        era: this.storeEra,
      }),
    ));
  }
}

let timer: VirtualTimerService;
let store: ControlledStore;
let followed: FollowedPrefix;

beforeEach(async () => {
  timer = new VirtualTimerService();
  store = new ControlledStore(timer);
  followed = new FollowedPrefix({ prefix: "a/", onChange: () => {} });
  const log = { event: () => {} };
  const dependencies = {
    store,
    followed: [followed],
    changeApplyMs: 2_000,
    timer,
    log,
  };
  await new StoreFollowerController(dependencies).start();
  store.deliver({
    kind: "snapshot",
    revision: { era: 1, revision: 1 },
    entries: [],
  });
});

/** Advances the time in small steps, so that promises settle in between. */
async function advanceTime(
  durationMs: number,
  eachStep = () => {},
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
    eachStep();
    timer.advance(50);
    await Promise.resolve();
    await Promise.resolve();
  }
}

describe("StoreFollowerController", () => {
  it("does not reopen a watch that has missed no change", async () => {
    await advanceTime(10_000);
    expect(store.probes).toBeGreaterThan(7);
    expect(store.reopened).toBe(0);
  });

  it("reopens a stalled watch within two seconds", async () => {
    await advanceTime(3_000);
    store.storeRevision = 2;
    await advanceTime(1_500);
    expect(store.reopened).toBe(1);
  });

  it("does not cut a response that is still arriving", async () => {
    store.storeRevision = 2;
    await advanceTime(5_000, () => {
      store.lastReceivedAtMs = timer.nowMs() + 50;
    });
    expect(store.reopened).toBe(0);
  });

  // Guards against a target that gets work for seconds after it reported that it
  // leaves: a watch that a cut has silenced, and probes that read outdated
  // revisions.
  it("reopens a watch once the store responds again after a loss", async () => {
    await advanceTime(3_000);
    store.setDown(true);
    await advanceTime(4_000);
    expect(store.reopened).toBe(0);
    store.setDown(false);
    await advanceTime(1_100);
    expect(store.reopened).toBe(1);
    store.deliver({
      kind: "snapshot",
      revision: { era: 1, revision: 1 },
      entries: [],
    });
    await advanceTime(5_000);
    expect(store.reopened).toBe(1);
  });

  // Guards against a watch that stays on a silent connection, since a probe that
  // failed on another one succeeds on a new one and reads an outdated revision.
  it("reconnects the watch once if a probe succeeds at its second attempt", async () => {
    await advanceTime(3_000);
    store.lostProbes = 1;
    await advanceTime(1_100);
    expect(store.reconnected).toBe(1);
    await advanceTime(5_000);
    expect([store.reconnected, store.reopened]).toEqual([1, 0]);
  });

  it("keeps a watch that has delivered since a probe was lost", async () => {
    await advanceTime(3_000);
    store.lostProbes = 2;
    await advanceTime(1_000);
    store.deliver({
      kind: "events",
      revision: { era: 1, revision: 2 },
      events: [],
    });
    store.storeRevision = 2;
    await advanceTime(5_000);
    expect([store.reconnected, store.reopened]).toEqual([0, 0]);
  });

  it("sends no probes while the watch delivers", async () => {
    await advanceTime(5_000, () => {
      store.storeRevision += 1;
      const revision = { era: 1, revision: store.storeRevision };
      store.deliver({ kind: "events", revision, events: [] });
    });
    expect(store.probes).toBe(0);
  });
});

describe("FollowedPrefix", () => {
  it("advances changeRevision only for changes to its own prefix", () => {
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
    followed.applyBatch({
      kind: "events",
      revision: { era: 1, revision: 5 },
      events: [entry("a/1", 5)],
    });
    followed.applyBatch({
      kind: "events",
      revision: { era: 1, revision: 9 },
      events: [entry("b/1", 9)],
    });
    expect([followed.revision, followed.changeRevision]).toEqual([
      { era: 1, revision: 9 },
      { era: 1, revision: 5 },
    ]);
  });
});
