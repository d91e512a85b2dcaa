/**
 * Prints the processor time per request of the fair queue by number of teams:
 * `node packages/bench/dist/admission/main.js`.
 */
import { DEFAULT_FAIR_QUEUE_SETTINGS, FairQueue } from "@coltsfootford/core";

const TEAM_COUNTS = [10, 100, 1_000, 5_700];
const REQUESTS = 20_000;
const US_PER_MS = 1_000;
/** Time between requests of one daemon: 61,000 requests/s, 2,700 daemons. */
const REQUEST_INTERVAL_MS = 44;

for (const teams of TEAM_COUNTS) {
  const queue = new FairQueue(
    { ...DEFAULT_FAIR_QUEUE_SETTINGS, maxQueued: 1_000 },
    1_000,
  );
  const before = process.cpuUsage();
  for (let index = 0; index < REQUESTS; index++) {
    const nowMs = index * REQUEST_INTERVAL_MS;
    const request = {
      requestId: String(index),
      team: `team-${index % teams}`,
      weight: 1,
      priority: 5,
      maxTeamRunning: Infinity,
      deadlineMs: nowMs + 10_000,
    };
    queue.offer(request, nowMs);
    const next = queue.peek(nowMs);
    if (!next) continue;
    queue.start(next, nowMs);
    queue.finish(next, nowMs + 1);
  }
  const { user, system } = process.cpuUsage(before);
  const usPerRequest = (user + system) / REQUESTS;
  const corePercent = usPerRequest / (REQUEST_INTERVAL_MS * US_PER_MS) * 100;
  const measurement = { teams, usPerRequest, corePercent };
  process.stdout.write(`${JSON.stringify(measurement)}\n`);
}
