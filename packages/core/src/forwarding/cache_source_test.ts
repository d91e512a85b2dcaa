import { beforeEach, describe, expect, it } from "@jest/globals";
import { CacheSources, fetchMs } from "./cache_source.ts";
import type { Candidate } from "./choose_target.ts";
import { TargetRecord } from "./target_record.ts";

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

const home = candidate("home");
const former = candidate("former");
const other = candidate("other");
let knownTokens: Map<Candidate, number>;

beforeEach(() => {
  knownTokens = new Map();
});

function sources(
  fields: { formerHomes?: Candidate[]; engine?: undefined } = {},
) {
  return new CacheSources({
    prompt: PROMPT,
    engine: "engine" in fields ? undefined : ENGINE,
    candidates: [home, other],
    home,
    formerHomes: fields.formerHomes ?? [],
    knownTokens,
  });
}

describe("CacheSources", () => {
  it("lets a target that stands in for the home fetch from it", () => {
    const source = sources().sourceFor(other);
    expect(source).toMatchObject({ candidate: home, tokens: 10_500 });
  });

  it("lets a new home fetch from the one before", () => {
    const found = sources({ formerHomes: [former] }).sourceFor(home);
    expect(found?.candidate).toBe(former);
  });

  it("names none where the target has read the prompt itself", () => {
    knownTokens.set(home, SHARED_TOKENS);
    knownTokens.set(other, SHARED_TOKENS);
    const found = sources({ formerHomes: [former] });
    expect(found.sourceFor(home)).toBeUndefined();
    expect(found.sourceFor(other)).toBeUndefined();
  });

  it("lets a home without a history fetch where this daemon sent before", () => {
    knownTokens.set(other, SHARED_TOKENS);
    expect(sources().sourceFor(home)?.candidate).toBe(other);
  });

  it("names none for plain services", () => {
    expect(sources({ engine: undefined }).sourceFor(other)).toBeUndefined();
  });
});

describe("fetchMs", () => {
  it("follows from the size of the cache and the link", () => {
    // 10,000 tokens * 163,840 bytes * 8 bits over 260 Gbit/s.
    expect(fetchMs(10_000, ENGINE)).toBeCloseTo(50.4, 1);
  });
});
