import { beforeEach, describe, expect, it } from "@jest/globals";
import { CacheSources, fetchMs } from "./cache_source.ts";
import type { Candidate } from "./choose_target.ts";
import { TargetRecord } from "../targets/target_record.ts";

const ENGINE = {
  slots: 64,
  cacheBytesPerToken: 163_840,
  linkMbps: 260_000,
};
const PROMPT = {
  parts: [
    { id: "common", tokens: 500 },
    { id: "document", tokens: 10_000 },
    { id: "own", tokens: 300 },
  ],
  promptTokens: 10_800,
  maxOutputTokens: 100,
};
const SHARED_TOKENS = 10_500;

function candidate(id: string): Candidate {
  return {
    target: {
      id,
      incarnation: `${id}@1`,
      bornAtMs: 1,
      sequence: 1,
      service: "models",
      host: "127.0.0.1",
      port: 1,
      availabilityZone: "a",
      slots: 64,
      isLeaving: false,
      coldLeftMs: 0,
    },
    record: new TargetRecord(),
    incarnationHash: 0,
  };
}

const preferred = candidate("preferred");
const formerPreferred = candidate("former-preferred");
const other = candidate("other");
let cachedTokens: Map<Candidate, number>;

beforeEach(() => {
  cachedTokens = new Map();
});

function sources(
  fields: { formerPreferredTargets?: Candidate[]; engine?: undefined } = {},
) {
  return new CacheSources({
    prompt: PROMPT,
    engine: "engine" in fields ? undefined : ENGINE,
    candidates: [preferred, other],
    preferredTarget: preferred,
    formerPreferredTargets: fields.formerPreferredTargets ?? [],
    cachedTokens,
  });
}

describe("CacheSources", () => {
  it("lets a target that replaces the preferred target fetch from it", () => {
    const source = sources().sourceFor(other);
    expect(source).toMatchObject({ candidate: preferred, tokens: 10_500 });
  });

  it("lets a new preferred target fetch from its predecessor", () => {
    const found = sources({ formerPreferredTargets: [formerPreferred] })
      .sourceFor(preferred);
    expect(found?.candidate).toBe(formerPreferred);
  });

  it("returns no source where the target has read the prompt itself", () => {
    cachedTokens.set(preferred, SHARED_TOKENS);
    cachedTokens.set(other, SHARED_TOKENS);
    const found = sources({ formerPreferredTargets: [formerPreferred] });
    expect(found.sourceFor(preferred)).toBeUndefined();
    expect(found.sourceFor(other)).toBeUndefined();
  });

  it("lets a preferred target fetch from a target that was sent the prompt", () => {
    cachedTokens.set(other, SHARED_TOKENS);
    expect(sources().sourceFor(preferred)?.candidate).toBe(other);
  });

  it("returns no source for plain services", () => {
    expect(sources({ engine: undefined }).sourceFor(other)).toBeUndefined();
  });
});

describe("fetchMs", () => {
  it("depends on the size of the cache and the bandwidth of the link", () => {
    // 10,000 tokens * 163,840 bytes * 8 bits over 260 Gbit/s.
    expect(fetchMs(10_000, ENGINE)).toBeCloseTo(50.4, 1);
  });
});
