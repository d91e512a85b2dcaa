import { afterEach, describe, expect, it } from "@jest/globals";
import { findBoundBreaches, SharedTruth } from "../truth/index.ts";
import { expectedAnswer } from "./completion.ts";
import type { EngineSettings } from "./engine_options.ts";
import { type ModelEngine, startModelEngine } from "./model_engine.ts";
import { listPrefixes, type Message } from "./prompt.ts";

const QUESTION: Message = { role: "user", content: "What is in bin 7?" };
const engines: ModelEngine[] = [];

interface Completion {
  readonly choices: { readonly message: Message }[];
  readonly usage: {
    readonly prompt_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number };
  };
}

async function readCompletion(response: Response): Promise<Completion> {
  return await response.json() as Completion;
}

async function start(settings: Partial<EngineSettings> = {}) {
  const engine = await startModelEngine({
    name: "engine-1",
    interTokenMs: 1,
    ...settings,
  });
  engines.push(engine);
  return engine;
}

function ask(
  engine: ModelEngine,
  requestId: string,
  body: Record<string, unknown> = {},
  headers: Record<string, string> = {},
  signal?: AbortSignal,
): Promise<Response> {
  return fetch(`http://127.0.0.1:${engine.port}/v1/chat/completions`, {
    method: "POST",
    headers: { "x-request-id": requestId, ...headers },
    body: JSON.stringify({ model: "writer", messages: [QUESTION], ...body }),
    ...(signal ? { signal } : {}),
  });
}

function textOf(stream: string): string {
  return stream.split("\n")
    .filter((line) => line.startsWith("data: {"))
    .map((line) => JSON.parse(line.slice("data: ".length)))
    .map((chunk) => chunk.choices[0].delta.content ?? "")
    .join("");
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

afterEach(async () => {
  await Promise.all(engines.splice(0).map((engine) => engine.close()));
});

describe("ModelEngine", () => {
  it("streams the whole expected answer with the request's id", async () => {
    const engine = await start();
    const response = await ask(engine, "r1", { stream: true, max_tokens: 9 });
    const stream = await response.text();
    expect(response.headers.get("x-request-id")).toBe("r1");
    expect(textOf(stream)).toBe(expectedAnswer([QUESTION], 9).text);
    expect(stream).toContain('"id":"chatcmpl-r1"');
    expect(stream.endsWith("data: [DONE]\n\n")).toBe(true);
  });

  it("resumes an answer behind the tokens that were sent", async () => {
    const engine = await start();
    const response = await ask(
      engine,
      "r1",
      { stream: true, max_tokens: 9 },
      { "x-coltsfoot-resume-after-tokens": "4" },
    );
    const rest = expectedAnswer([QUESTION], 9).tokens.slice(4).join("");
    expect(textOf(await response.text())).toBe(rest);
  });

  it("finds the prefix of the next turn in its cache", async () => {
    const engine = await start();
    const answer = await readCompletion(await ask(engine, "r1"));
    const messages = [QUESTION, answer.choices[0]?.message, QUESTION];
    const next = await readCompletion(await ask(engine, "r2", { messages }));
    const run = engine.truth.runs.list()[1];
    expect(next.usage.prompt_tokens_details.cached_tokens).toBeGreaterThan(0);
    expect(run?.reusedTokens).toBe(run?.returningTokens);
  });

  it("cancels the run when the caller hangs up", async () => {
    const engine = await start();
    const controller = new AbortController();
    await ask(
      engine,
      "r1",
      { stream: true, max_tokens: 100_000 },
      {},
      controller.signal,
    );
    controller.abort();
    await until(() => engine.truth.runs.list()[0]?.end === "cancelled");
    expect(engine.describeTruth().runningRequests).toBe(0);
  });

  it("crashes on a poison request and comes back with a new incarnation", async () => {
    const engine = await start({
      faults: { poisonMarkers: ["bin 7"], restartAfterMs: 1 },
    });
    const before = engine.describeTruth().incarnation;
    await expect(ask(engine, "r1")).rejects.toThrow();
    await engine.applyFaults({ poisonMarkers: [] });
    await until(() => engine.describeTruth().incarnation !== before);
    expect((await ask(engine, "r2")).status).toBe(200);
    expect(engine.describeTruth().crashes).toBe(1);
  });

  it("refuses with a proof of not running when full or leaving", async () => {
    const engine = await start();
    await engine.applyFaults({ refuseBusy: true });
    const busy = await ask(engine, "r1");
    await engine.applyFaults({ refuseBusy: false, leaving: true });
    const leaving = await ask(engine, "r2");
    expect([busy.status, leaving.status]).toEqual([429, 503]);
    expect(busy.headers.get("x-target-ran")).toBe("no");
    expect(engine.truth.runs.list()).toHaveLength(0);
  });

  it("cuts an answer without its terminal events", async () => {
    const engine = await start();
    const faults = { truncateAfterTokens: 2, remainingRequests: 1 };
    await engine.applyFaults(faults);
    const cut = await ask(engine, "r1", { stream: true, max_tokens: 5 });
    await expect(cut.text()).rejects.toThrow();
    const whole = await ask(engine, "r2", { stream: true, max_tokens: 5 });
    expect(await whole.text()).toContain("[DONE]");
  });

  it("serves the higher priority first", async () => {
    const engine = await start({ maxRunningRequests: 1 });
    const body = { max_tokens: 20 };
    const first = ask(engine, "first", body);
    await until(() => engine.truth.runs.list().length === 1);
    const low = ask(engine, "low", body, { "x-coltsfoot-priority": "1" });
    await until(() => engine.truth.runs.list().length === 2);
    const high = ask(engine, "high", body, { "x-coltsfoot-priority": "9" });
    await Promise.all([first, low, high]);
    const [, lowRun, highRun] = engine.truth.runs.list();
    expect(highRun?.endedMonotonicMs).toBeLessThan(
      lowRun?.endedMonotonicMs ?? 0,
    );
  });

  it("refuses an old fencing number only where it checks them", async () => {
    const verdicts = [];
    for (const checksFences of [true, false]) {
      const engine = await start({ checksFences, orderMs: 0 });
      for (const [name, fence] of [["a", 2], ["b", 1], ["a", 2]]) {
        const response = await fetch(`http://127.0.0.1:${engine.port}/orders`, {
          method: "POST",
          body: JSON.stringify({ name, fence, kind: "set_role" }),
        });
        verdicts.push(response.status);
      }
      expect(engine.describeTruth().ordersExecuted).toHaveLength(
        checksFences ? 1 : 2,
      );
    }
    expect(verdicts).toEqual([200, 409, 200, 200, 200, 200]);
  });

  it("moves a prefix by export and import", async () => {
    const [from, to] = [await start(), await start({ name: "engine-2" })];
    await (await ask(from, "r1")).text();
    const post = (engine: ModelEngine, path: string, body: unknown) =>
      fetch(`http://127.0.0.1:${engine.port}${path}`, {
        method: "POST",
        body: JSON.stringify(body),
      });
    const prefix_hash = listPrefixes([QUESTION])[0]?.hash;
    const exported = await post(from, "/kv/export", { prefix_hash });
    await post(to, "/kv/import", await exported.json());
    const answer = await readCompletion(await ask(to, "r2"));
    expect(answer.usage.prompt_tokens_details.cached_tokens).toBe(
      answer.usage.prompt_tokens,
    );
  });
});

describe("AdmissionLog", () => {
  it("finds an admission above the multiple of the pool's mean", () => {
    const truth = new SharedTruth();
    for (const target of ["a", "b", "c", "d"]) {
      truth.admissions.setTarget(target, "engines", true);
    }
    truth.admissions.admit("a", "r1");
    truth.admissions.admit("b", "r2");
    for (const id of ["r3", "r4"]) truth.admissions.admit("a", id);
    const breaches = findBoundBreaches(
      truth.admissions.list(),
      "engines",
      1.25,
    );
    expect(breaches.map((breach) => breach.requestId)).toEqual(["r3", "r4"]);
  });
});
