import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;
const DEFAULT_TIMEOUT_MS = 30_000;

/**
 * Polls `condition` until it returns a value other than undefined or false.
 *
 * @throws Error after `timeoutMs`; its message contains `description`.
 */
export async function waitUntil<T>(
  description: string,
  condition: () => T | undefined | false | Promise<T | undefined | false>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    const value = await condition();
    if (value !== undefined && value !== false) return value;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}`);
}
