import { describe, expect, it } from "@jest/globals";
import {
  CONFIG_HEAD_KEY,
  CONFIG_PART_PREFIX,
  createObjectSet,
  objectSchema,
  type ObjectSet,
  VirtualTimerService,
} from "@coltsfootford/core";
import {
  FakeKeyValue,
  FakeKeyValueStore,
} from "@coltsfootford/key-value/testing";
import { type PublishedSet, readPublishedSet } from "./published_set.ts";
import { Publisher } from "./publisher.ts";

function createSet(count: number, shareWeight = 1): ObjectSet {
  return createObjectSet(
    Array.from({ length: count }, (_item, index) =>
      objectSchema.parse({
        kind: "team",
        name: `team-${index}`,
        shareWeight: index === 0 ? shareWeight : 1,
      })),
  );
}

/** An operator with its own connection to the shared store. */
class Operator {
  readonly timer = new VirtualTimerService();
  readonly client: FakeKeyValue;
  readonly #name: string;
  #count = 0;

  constructor(name: string, store: FakeKeyValueStore) {
    this.#name = name;
    this.client = new FakeKeyValue(this.timer, store);
  }

  async read(): Promise<PublishedSet | undefined> {
    return (await readPublishedSet(this.client))._unsafeUnwrap();
  }

  async publish(set: ObjectSet, current: PublishedSet | undefined) {
    const publisher = new Publisher({ client: this.client, timer: this.timer });
    let isDone = false;
    const outcome = publisher.publish({
      set,
      current,
      metadata: {
        revision: (current?.head.revision ?? 0) + 1,
        nonce: `${this.#name}-${++this.#count}`,
        publishedBy: this.#name,
        publishedAtMs: 0,
      },
    }).finally(() => isDone = true);
    while (!isDone) {
      await new Promise((resolve) => setImmediate(resolve));
      this.timer.advance(100);
    }
    return await outcome;
  }
}

function createOperators() {
  const store = new FakeKeyValueStore();
  return {
    store,
    ana: new Operator("ana", store),
    ben: new Operator("ben", store),
  };
}

const countParts = (store: FakeKeyValueStore) =>
  store.range({ prefix: CONFIG_PART_PREFIX }).entries.length;

describe("Publisher", () => {
  it("lets one of two racing operators publish and reports a conflict to the other", async () => {
    const { ana, ben } = createOperators();
    await ana.publish(createSet(3), undefined);
    const base = await ana.read();
    const outcomes = await Promise.all([
      ana.publish(createSet(3, 5), base),
      ben.publish(createSet(4), base),
    ]);
    const conflicts = outcomes.filter((outcome) => outcome.isErr());
    expect(conflicts).toHaveLength(1);
    const error = conflicts[0]!._unsafeUnwrapErr();
    expect(error.kind).toBe("conflict");
    const details = error.details.join("\n");
    expect(details).toContain("revision 2 by ana");
    expect(details).toContain("~ team/team-0 (shareWeight)");
    expect(details).toContain("--base 2");
    expect((await ana.read())?.set.teams.get("team-0")?.shareWeight).toBe(5);
  });

  it("detects its own write after a lost response", async () => {
    const { ana } = createOperators();
    await ana.publish(createSet(3), undefined);
    const base = await ana.read();
    ana.client.faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    ana.client.faults.lostWriteResponses = 1;
    const outcome = (await ana.publish(createSet(3, 5), base))._unsafeUnwrap();
    expect(outcome.wasReadBack).toBe(true);
    expect((await ana.read())?.head.revision).toBe(2);
  });

  it("retries a write that was lost", async () => {
    const { ana } = createOperators();
    await ana.publish(createSet(3), undefined);
    const base = await ana.read();
    ana.client.faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    ana.client.faults.lostWriteRequests = 2;
    expect((await ana.publish(createSet(3, 5), base)).isOk()).toBe(true);
    expect((await ana.read())?.head.revision).toBe(2);
  });

  it("detects its own write after a later publication of another operator", async () => {
    const { ana, ben, store } = createOperators();
    await ana.publish(createSet(3), undefined);
    const base = await ana.read();
    const watch = ben.client.watch({
      selection: { key: CONFIG_HEAD_KEY },
      startRevision: store.revision + 1,
      onBatch: async () => {
        watch.close();
        await ben.publish(createSet(9), await ben.read());
      },
    });
    await new Promise((resolve) => setImmediate(resolve));
    ana.client.faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    ana.client.faults.lostWriteResponses = 1;
    const outcome = (await ana.publish(createSet(3, 5), base))._unsafeUnwrap();
    expect(outcome).toMatchObject({
      wasReadBack: true,
      metadata: { revision: 2 },
    });
    expect((await ben.read())?.head.publishedBy).toBe("ben");
  });

  it("reports an unknown outcome if all responses are lost", async () => {
    const { ana } = createOperators();
    ana.client.faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    ana.client.faults.lostWriteRequests = Infinity;
    const error = (await ana.publish(createSet(1), undefined))
      ._unsafeUnwrapErr();
    expect(error.kind).toBe("outcome-unknown");
    expect(await ana.read()).toBeUndefined();
  });

  it("reports that nothing was published if the platform is down", async () => {
    const { ana } = createOperators();
    ana.client.setDown(true);
    const error = (await ana.publish(createSet(1), undefined))
      ._unsafeUnwrapErr();
    expect(error.kind).toBe("platform-unreachable");
  });

  it("writes the changed parts and deletes the unused ones", async () => {
    const { ana, store } = createOperators();
    await ana.publish(createSet(500), undefined);
    const base = await ana.read();
    const partCount = countParts(store);
    const writesBefore = ana.client.calls.writes;
    await ana.publish(createSet(500, 5), base);
    expect(countParts(store)).toBe(partCount);
    expect(ana.client.calls.writes - writesBefore).toBe(3);
    expect((await ana.read())?.set.teams.size).toBe(500);
  });

  it("retains a part that another publication has written in the meantime", async () => {
    const { ana, ben, store } = createOperators();
    await ana.publish(createSet(1), undefined);
    const first = await ana.read();
    const [part] = [...first!.digests].map((digest) =>
      CONFIG_PART_PREFIX + digest
    );
    const [entry] = store.range({ key: part! }).entries;
    const watch = ben.client.watch({
      selection: { key: CONFIG_HEAD_KEY },
      startRevision: store.revision + 1,
      onBatch: async () => {
        watch.close();
        await ben.client.put(part!, entry!.value);
      },
    });
    await new Promise((resolve) => setImmediate(resolve));
    await ana.publish(createSet(1, 5), first);
    expect(store.range({ key: part! }).entries).toHaveLength(1);
  });
});
