import { Pool } from "undici";

const CHATS = 100;

/** Throughput and latency measured by a load. */
export interface LoadMeasurement {
  readonly requestsPerSecond: number;
  readonly failed: number;
  readonly firstByteP50Ms: number;
  readonly firstByteP95Ms: number;
}

/** Parameters of a load. */
export interface LoadPlan {
  readonly url: string;
  readonly isStream: boolean;
  readonly clients: number;
  readonly durationMs: number;
  /** Pause of each client between two requests; 0 for the highest rate. */
  readonly pauseMs: number;
}

/** Sends a closed-loop load: each client waits for its response. */
export async function runLoad(plan: LoadPlan): Promise<LoadMeasurement> {
  const pool = new Pool(plan.url, { connections: plan.clients });
  const firstByteMs: number[] = [];
  let failed = 0;
  const endAtMs = performance.now() + plan.durationMs;
  const sendRequests = async (client: number) => {
    for (let index = client; performance.now() < endAtMs; index++) {
      const startedAtMs = performance.now();
      const response = await pool.request({
        method: "POST",
        path: "/v1/chat/completions",
        headers: {
          "content-type": "application/json",
          "x-coltsfoot-team": "lots",
        },
        body: formatChatRequest(index % CHATS, plan.isStream),
      });
      firstByteMs.push(performance.now() - startedAtMs);
      const text = await response.body.text();
      const isComplete = !plan.isStream || text.includes("[DONE]");
      if (response.statusCode !== 200 || !isComplete) failed += 1;
      if (plan.pauseMs > 0) await pause(plan.pauseMs);
    }
  };
  await Promise.all(
    Array.from({ length: plan.clients }, (_, i) => sendRequests(i)),
  );
  await pool.close();
  firstByteMs.sort((a, b) => a - b);
  const seconds = plan.durationMs / 1_000;
  return {
    requestsPerSecond: Math.round(firstByteMs.length / seconds),
    failed,
    firstByteP50Ms: percentile(firstByteMs, 0.5),
    firstByteP95Ms: percentile(firstByteMs, 0.95),
  };
}

function formatChatRequest(chat: number, isStream: boolean): string {
  return JSON.stringify({
    model: "writer",
    stream: isStream,
    prompt_cache_key: `chat-${chat}`,
    messages: [{ role: "user", content: "describe the lot" }],
  });
}

function percentile(sorted: readonly number[], fraction: number): number {
  const value = sorted[Math.floor(sorted.length * fraction)] ?? 0;
  return Math.round(value * 100) / 100;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
