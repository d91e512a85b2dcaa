import { setTimeout as sleep } from "node:timers/promises";

const POLL_MS = 20;
const DEFAULT_LIMIT_MS = 30_000;

/**
 * Waits until `condition` gives something other than undefined or false.
 *
 * @throws Error once `limitMs` have passed; `what` names what was awaited.
 */
export async function waitUntil<T>(
  what: string,
  condition: () => T | undefined | false | Promise<T | undefined | false>,
  limitMs = DEFAULT_LIMIT_MS,
): Promise<T> {
  const endMs = performance.now() + limitMs;
  while (performance.now() < endMs) {
    const value = await condition();
    if (value !== undefined && value !== false) return value;
    await sleep(POLL_MS);
  }
  throw new Error(`waited ${limitMs} ms in vain for ${what}`);
}
