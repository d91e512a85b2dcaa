import { Pool } from "undici";

const CHATS = 100;

/** What a load measured. */
export interface LoadFigures {
  readonly requestsPerSecond: number;
  readonly failed: number;
  readonly firstByteP50Ms: number;
  readonly firstByteP95Ms: number;
}

/** What a load sends. */
export interface LoadPlan {
  readonly url: string;
  readonly isStream: boolean;
  readonly callers: number;
  readonly durationMs: number;
  /** Pause of each caller between two requests; 0 for the highest rate. */
  readonly pauseMs: number;
}

/** Sends requests from callers that wait for their answers. */
export async function runLoad(plan: LoadPlan): Promise<LoadFigures> {
  const pool = new Pool(plan.url, { connections: plan.callers });
  const firstByteMs: number[] = [];
  let failed = 0;
  const endsAtMs = performance.now() + plan.durationMs;
  const call = async (caller: number) => {
    for (let turn = caller; performance.now() < endsAtMs; turn++) {
      const startedAtMs = performance.now();
      const response = await pool.request({
        method: "POST",
        path: "/v1/chat/completions",
        headers: {
          "content-type": "application/json",
          "x-coltsfoot-team": "lots",
        },
        body: describeChat(turn % CHATS, plan.isStream),
      });
      firstByteMs.push(performance.now() - startedAtMs);
      const text = await response.body.text();
      const isWhole = !plan.isStream || text.includes("[DONE]");
      if (response.statusCode !== 200 || !isWhole) failed += 1;
      if (plan.pauseMs > 0) await pause(plan.pauseMs);
    }
  };
  await Promise.all(Array.from({ length: plan.callers }, (_, i) => call(i)));
  await pool.close();
  firstByteMs.sort((a, b) => a - b);
  const seconds = plan.durationMs / 1_000;
  return {
    requestsPerSecond: Math.round(firstByteMs.length / seconds),
    failed,
    firstByteP50Ms: quantile(firstByteMs, 0.5),
    firstByteP95Ms: quantile(firstByteMs, 0.95),
  };
}

function describeChat(chat: number, isStream: boolean): string {
  return JSON.stringify({
    model: "writer",
    stream: isStream,
    prompt_cache_key: `chat-${chat}`,
    messages: [{ role: "user", content: "describe the lot" }],
  });
}

function quantile(sorted: readonly number[], share: number): number {
  const value = sorted[Math.floor(sorted.length * share)] ?? 0;
  return Math.round(value * 100) / 100;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
