import { describe, expect, it } from "@jest/globals";
import { VirtualTimerService } from "@coltsfootford/core";
import type { WatchBatch } from "../key_value_types.ts";
import { FakeKeyValue } from "./fake_key_value.ts";

async function flushMicrotasks(): Promise<void> {
  for (let count = 0; count < 20; count++) await Promise.resolve();
}

describe("FakeKeyValue", () => {
  it("swaps only at the expected revision", async () => {
    const client = new FakeKeyValue(new VirtualTimerService());
    const created = (await client.create("k", "1"))._unsafeUnwrap();
    const second = (await client.create("k", "2"))._unsafeUnwrap();
    expect([created.swapped, second.swapped]).toEqual([true, false]);
    expect(second.current?.value).toBe("1");
    const stale = await client.replace("k", "3", created.revision + 1);
    expect(stale._unsafeUnwrap().swapped).toBe(false);
    const fresh = await client.replace("k", "3", created.revision);
    expect(fresh._unsafeUnwrap().swapped).toBe(true);
  });

  it("loses responses after and requests before the write is applied", async () => {
    const client = new FakeKeyValue(new VirtualTimerService());
    client.faults.lostWriteResponses = 1;
    expect((await client.put("a", "1")).isErr()).toBe(true);
    client.faults.lostWriteRequests = 1;
    expect((await client.put("b", "1")).isErr()).toBe(true);
    expect((await client.get("a"))._unsafeUnwrap()?.value).toBe("1");
    expect((await client.get("b"))._unsafeUnwrap()).toBeUndefined();
  });

  it("deletes the keys of an expired lease", async () => {
    const timer = new VirtualTimerService();
    const client = new FakeKeyValue(timer);
    const lease = (await client.grantLease(1_000))._unsafeUnwrap();
    await client.put("k", "v", lease.leaseId);
    timer.advance(900);
    await client.keepLeaseAlive(lease.leaseId);
    timer.advance(900);
    expect((await client.get("k"))._unsafeUnwrap()).toBeDefined();
    timer.advance(200);
    expect((await client.get("k"))._unsafeUnwrap()).toBeUndefined();
    const renewed = await client.keepLeaseAlive(lease.leaseId);
    expect(renewed._unsafeUnwrap().ttlMs).toBe(0);
  });

  it("resumes a watch after an outage without a gap or a duplicate", async () => {
    const timer = new VirtualTimerService();
    const client = new FakeKeyValue(timer);
    const other = new FakeKeyValue(timer, client.store);
    const batches: WatchBatch[] = [];
    const watch = client.watch({
      selection: { prefix: "k" },
      onBatch: (batch) => void batches.push(batch),
    });
    await flushMicrotasks();
    await other.put("k1", "1");
    client.setDown(true);
    await other.put("k2", "2");
    client.setDown(false);
    timer.advance(10_000);
    await flushMicrotasks();
    await other.put("k3", "3");
    await flushMicrotasks();
    expect(describeBatches(batches)).toEqual(["snapshot", "k1", "k2", "k3"]);
    watch.close();
    await other.put("k4", "4");
    await flushMicrotasks();
    expect(batches).toHaveLength(4);
  });

  it("reopens a watch that the service never accepted", async () => {
    const timer = new VirtualTimerService();
    const client = new FakeKeyValue(timer);
    const batches: WatchBatch[] = [];
    client.faults.areWatchesHung = true;
    client.watch({
      selection: { prefix: "k" },
      startRevision: 1,
      onBatch: (batch) => void batches.push(batch),
    });
    await flushMicrotasks();
    await client.put("k1", "1");
    client.faults.areWatchesHung = false;
    timer.advance(10_000);
    await flushMicrotasks();
    expect(describeBatches(batches)).toEqual(["k1"]);
    timer.advance(60_000);
    await flushMicrotasks();
    expect(client.calls.watches).toBe(2);
  });

  it("delivers a snapshot after a compaction and after a restore", async () => {
    const timer = new VirtualTimerService();
    const client = new FakeKeyValue(timer);
    const backup = client.store.backup();
    for (let count = 0; count < 5; count++) await client.put("k", `${count}`);
    const batches: WatchBatch[] = [];
    client.watch({
      selection: { prefix: "k" },
      onBatch: (batch) => void batches.push(batch),
    });
    await flushMicrotasks();
    client.endWatches();
    await client.put("k", "during");
    client.store.compact();
    timer.advance(10_000);
    await flushMicrotasks();
    timer.advance(10_000);
    await flushMicrotasks();
    expect(batches.at(-1)).toMatchObject({
      kind: "snapshot",
      revision: { era: 0, revision: 7 },
    });
    client.endWatches();
    client.store.restore(backup);
    client.store.compactRevision = 0;
    for (let round = 0; round < 3; round++) {
      timer.advance(10_000);
      await flushMicrotasks();
    }
    expect(batches.at(-1)).toMatchObject({
      kind: "snapshot",
      revision: { era: 1, revision: 1 },
    });
  });
});

function describeBatches(batches: readonly WatchBatch[]): string[] {
  return batches.flatMap((batch) =>
    batch.kind === "snapshot"
      ? ["snapshot"]
      : batch.events.map((event) =>
        event.kind === "put" ? event.entry.key : event.key
      )
  );
}
