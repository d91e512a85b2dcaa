/**
 * Prints the number of writes to the key-value service per booking, at several
 * rates: `node packages/bench/dist/claims/main.js`.
 */
import { measureClaims } from "./measure_claims.ts";

const DAEMONS = 6;
const RATES_PER_SECOND = [50, 200, 500, 1_000, 2_000, 4_000];
const DURATION_MS = 5_000;

for (const rate of RATES_PER_SECOND) {
  const measurement = await measureClaims(DAEMONS, rate, DURATION_MS);
  process.stdout.write(`${JSON.stringify(measurement)}\n`);
}
