import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import {
  type KeyValueService,
  startKeyValueService,
} from "./key_value_service.ts";

/** The response fields of the gateway that these tests read. */
interface GatewayResponse {
  readonly header: { readonly revision: string };
  readonly kvs: { readonly key: string; readonly value: string }[];
  readonly count: string;
  readonly more: boolean;
  readonly succeeded: boolean;
  readonly responses: { readonly response_range: GatewayResponse }[];
  readonly ID: string;
  readonly TTL: string;
  readonly result: GatewayResponse;
}

const encode = (text: string) => Buffer.from(text).toString("base64");

describe("KeyValueService", () => {
  let service: KeyValueService;

  beforeEach(async () => {
    service = await startKeyValueService();
  });

  afterEach(async () => {
    await service.close();
  });

  function post(path: string, body: unknown, signal?: AbortSignal) {
    return fetch(`http://127.0.0.1:${service.port}/v3/${path}`, {
      method: "POST",
      body: JSON.stringify(body),
      ...(signal ? { signal } : {}),
    });
  }

  async function call(path: string, body: unknown) {
    return await (await post(path, body)).json() as GatewayResponse;
  }

  const put = (key: string, value: string, rest: object = {}) =>
    call("kv/put", { key: encode(key), value: encode(value), ...rest });

  async function get(key: string): Promise<string | undefined> {
    const { kvs } = await call("kv/range", { key: encode(key) });
    if (!kvs[0]) return undefined;
    return Buffer.from(kvs[0].value, "base64").toString();
  }

  /** A transaction that creates a key, or reads it if it exists. */
  const create = (key: string, value: string) => ({
    compare: [{ key: encode(key), target: "VERSION", version: "0" }],
    success: [{ requestPut: { key: encode(key), value: encode(value) } }],
    failure: [{ request_range: { key: encode(key) } }],
  });

  it("applies exactly one of two concurrent creates", async () => {
    const responses = await Promise.all(
      ["one", "two"].map((value) => call("kv/txn", create("head", value))),
    );
    expect(responses.filter((response) => response.succeeded)).toHaveLength(1);
    const failed = responses.find((response) => !response.succeeded);
    expect(failed?.responses[0]?.response_range.kvs).toHaveLength(1);
  });

  it("reads a range ordered by key, up to its limit", async () => {
    for (const key of ["p/2", "p/1", "q/1"]) await put(key, key);
    const range = { key: encode("p/"), range_end: encode("p0"), limit: 1 };
    const response = await call("kv/range", range);
    expect([response.count, response.more]).toEqual(["2", true]);
    expect(response.kvs[0]?.key).toBe(encode("p/1"));
  });

  it("applies a write whose response is lost", async () => {
    await service.applyFaults({ loseWriteAnswers: 1, loseKeyPrefix: "claims" });
    await put("other", "kept");
    await expect(post("kv/txn", create("claims/1", "mine"))).rejects.toThrow();
    expect(await get("claims/1")).toBe("mine");
  });

  it("deletes the keys of an expired lease", async () => {
    const { ID } = await call("lease/grant", { TTL: "1" });
    await put("held", "x", { lease: ID });
    expect((await call("lease/timetolive", { ID })).TTL).toBe("1");
    while ((await get("held")) !== undefined) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    const response = await call("lease/keepalive", { ID });
    expect(response.result.TTL).toBeUndefined();
  });

  it("watches from an older revision, but not a compacted one", async () => {
    await put("a", "1");
    const { header } = await put("a", "2");
    await service.applyFaults({ compactRevision: Number(header.revision) - 1 });
    const watch = (start_revision: string) =>
      post("watch", { create_request: { key: encode("a"), start_revision } });
    expect(await (await watch("1")).text()).toContain('"compact_revision"');
    const response = await watch(header.revision);
    const reader = response.body?.getReader();
    let text = "";
    while (!text.includes('"events"')) {
      text += Buffer.from((await reader?.read())?.value ?? []).toString();
    }
    const event = JSON.parse(text.trim().split("\n")[1] ?? "").result.events[0];
    expect(event.kv.value).toBe(encode("2"));
    await reader?.cancel();
  });

  it("reverts to an older state when a snapshot is restored", async () => {
    await put("a", "1");
    await service.applyFaults({ saveSnapshot: true });
    await put("a", "2");
    await service.applyFaults({ restoreSnapshot: true });
    // The first call may use a connection that the restore has destroyed.
    await get("a").catch(() => undefined);
    expect(await get("a")).toBe("1");
  });

  it("rejects values above the limit and unknown leases", async () => {
    const large = await post("kv/put", {
      key: encode("a"),
      value: "A".repeat(2 * 1024 * 1024),
    });
    const unleased = await post("kv/put", { key: encode("a"), lease: "9" });
    expect([large.status, unleased.status]).toEqual([400, 404]);
  });

  it("counts calls by kind and refuses connections while down", async () => {
    await put("a", "1");
    await get("a");
    expect(service.describeTruth().calls).toMatchObject({
      totals: { read: 1, write: 1 },
    });
    await service.applyFaults({ down: true });
    await expect(get("a")).rejects.toThrow();
    await service.applyFaults({ down: false });
    expect(await get("a")).toBe("1");
  });
});
