import { afterEach, describe, expect, it } from "@jest/globals";
import { findBoundBreaches, SharedTruth } from "../truth/index.ts";
import { expectedCompletion } from "./completion.ts";
import type { EngineSettings } from "./engine_options.ts";
import { type ModelEngine, startModelEngine } from "./model_engine.ts";
import { listPrefixes, type Message } from "./prompt.ts";

const USER_MESSAGE: Message = { role: "user", content: "What is in bin 7?" };
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

function sendChat(
  engine: ModelEngine,
  requestId: string,
  body: Record<string, unknown> = {},
  headers: Record<string, string> = {},
  signal?: AbortSignal,
): Promise<Response> {
  return fetch(`http://127.0.0.1:${engine.port}/v1/chat/completions`, {
    method: "POST",
    headers: { "x-request-id": requestId, ...headers },
    body: JSON.stringify({
      model: "writer",
      messages: [USER_MESSAGE],
      ...body,
    }),
    ...(signal ? { signal } : {}),
  });
}

function readStreamText(stream: string): string {
  return stream.split("\n")
    .filter((line) => line.startsWith("data: {"))
    .map((line) => JSON.parse(line.slice("data: ".length)))
    .map((chunk) => chunk.choices[0].delta.content ?? "")
    .join("");
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

afterEach(async () => {
  await Promise.all(engines.splice(0).map((engine) => engine.close()));
});

describe("ModelEngine", () => {
  it("streams the complete response with the request's id", async () => {
    const engine = await start();
    const response = await sendChat(engine, "r1", {
      stream: true,
      max_tokens: 9,
    });
    const stream = await response.text();
    expect(response.headers.get("x-request-id")).toBe("r1");
    expect(readStreamText(stream)).toBe(
      expectedCompletion([USER_MESSAGE], 9).text,
    );
    expect(stream).toContain('"id":"chatcmpl-r1"');
    expect(stream.endsWith("data: [DONE]\n\n")).toBe(true);
  });

  it("resumes a response after the tokens that were already sent", async () => {
    const engine = await start();
    const response = await sendChat(
      engine,
      "r1",
      { stream: true, max_tokens: 9 },
      { "x-coltsfoot-resume-after-tokens": "4" },
    );
    const rest = expectedCompletion([USER_MESSAGE], 9).tokens.slice(4).join("");
    expect(readStreamText(await response.text())).toBe(rest);
  });

  it("reuses the cached prefix for the next message of a chat", async () => {
    const engine = await start();
    const completion = await readCompletion(await sendChat(engine, "r1"));
    const messages = [
      USER_MESSAGE,
      completion.choices[0]?.message,
      USER_MESSAGE,
    ];
    const next = await readCompletion(
      await sendChat(engine, "r2", { messages }),
    );
    const run = engine.truth.runs.list()[1];
    expect(next.usage.prompt_tokens_details.cached_tokens).toBeGreaterThan(0);
    expect(run?.reusedTokens).toBe(run?.returningTokens);
  });

  it("cancels the run when the client disconnects", async () => {
    const engine = await start();
    const controller = new AbortController();
    await sendChat(
      engine,
      "r1",
      { stream: true, max_tokens: 100_000 },
      {},
      controller.signal,
    );
    controller.abort();
    await waitUntil(() => engine.truth.runs.list()[0]?.end === "cancelled");
    expect(engine.describeTruth().runningRequests).toBe(0);
  });

  it("restarts with a new incarnation after a poison request", async () => {
    const engine = await start({
      faults: { poisonMarkers: ["bin 7"], restartAfterMs: 1 },
    });
    const before = engine.describeTruth().incarnation;
    await expect(sendChat(engine, "r1")).rejects.toThrow();
    await engine.applyFaults({ poisonMarkers: [] });
    await waitUntil(() => engine.describeTruth().incarnation !== before);
    expect((await sendChat(engine, "r2")).status).toBe(200);
    expect(engine.describeTruth().crashes).toBe(1);
  });

  it("rejects requests as not run when full or leaving", async () => {
    const engine = await start();
    await engine.applyFaults({ refuseBusy: true });
    const busy = await sendChat(engine, "r1");
    await engine.applyFaults({ refuseBusy: false, leaving: true });
    const leaving = await sendChat(engine, "r2");
    expect([busy.status, leaving.status]).toEqual([429, 503]);
    expect(busy.headers.get("x-target-ran")).toBe("no");
    expect(engine.truth.runs.list()).toHaveLength(0);
  });

  it("truncates a response before its terminal events", async () => {
    const engine = await start();
    const faults = { truncateAfterTokens: 2, remainingRequests: 1 };
    await engine.applyFaults(faults);
    const truncated = await sendChat(engine, "r1", {
      stream: true,
      max_tokens: 5,
    });
    await expect(truncated.text()).rejects.toThrow();
    const complete = await sendChat(engine, "r2", {
      stream: true,
      max_tokens: 5,
    });
    expect(await complete.text()).toContain("[DONE]");
  });

  it("serves the request of higher priority first", async () => {
    const engine = await start({ maxRunningRequests: 1 });
    const body = { max_tokens: 20 };
    const first = sendChat(engine, "first", body);
    await waitUntil(() => engine.truth.runs.list().length === 1);
    const low = sendChat(engine, "low", body, { "x-coltsfoot-priority": "1" });
    await waitUntil(() => engine.truth.runs.list().length === 2);
    const high = sendChat(engine, "high", body, {
      "x-coltsfoot-priority": "9",
    });
    await Promise.all([first, low, high]);
    const [, lowRun, highRun] = engine.truth.runs.list();
    expect(highRun?.endedMonotonicMs).toBeLessThan(
      lowRun?.endedMonotonicMs ?? 0,
    );
  });

  it("rejects an outdated fencing token only if it checks them", async () => {
    const statuses = [];
    for (const checksFences of [true, false]) {
      const engine = await start({ checksFences, orderMs: 0 });
      for (const [name, fence] of [["a", 2], ["b", 1], ["a", 2]]) {
        const response = await fetch(`http://127.0.0.1:${engine.port}/orders`, {
          method: "POST",
          body: JSON.stringify({ name, fence, kind: "set_role" }),
        });
        statuses.push(response.status);
      }
      expect(engine.describeTruth().ordersExecuted).toHaveLength(
        checksFences ? 1 : 2,
      );
    }
    expect(statuses).toEqual([200, 409, 200, 200, 200, 200]);
  });

  it("copies a cached prefix by export and import", async () => {
    const [from, to] = [await start(), await start({ name: "engine-2" })];
    await (await sendChat(from, "r1")).text();
    const post = (engine: ModelEngine, path: string, body: unknown) =>
      fetch(`http://127.0.0.1:${engine.port}${path}`, {
        method: "POST",
        body: JSON.stringify(body),
      });
    const prefix_hash = listPrefixes([USER_MESSAGE])[0]?.hash;
    const exported = await post(from, "/kv/export", { prefix_hash });
    await post(to, "/kv/import", await exported.json());
    const completion = await readCompletion(await sendChat(to, "r2"));
    expect(completion.usage.prompt_tokens_details.cached_tokens).toBe(
      completion.usage.prompt_tokens,
    );
  });
});

describe("AdmissionLog", () => {
  it("finds admissions above the allowed multiple of the pool's mean", () => {
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
