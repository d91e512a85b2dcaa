/** The measurement `node packages/bench/dist/contended_targets/main.js`. */
import { parseArgs } from "node:util";
import { formatTable } from "../report/index.ts";
import {
  ContendedFleet,
  type ContendedFleetResult,
  KNOWLEDGE,
} from "./fleet_model.ts";

const HELP = `node packages/bench/dist/contended_targets/main.js [options]

Measures how 138 daemons use three targets with few slots that are slow in turn,
with the daemons' own decisions and models of the targets and messages.

Options:
  --seed N   seed of the traffic (default 1)
  --help     this text
`;
/** At 2.5, the requests need more than the targets have. */
const USUAL_SLOWDOWNS = [1, 2.5];

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    help: { type: "boolean", default: false },
  },
});
if (values.help) console.log(HELP);
else measureAll(Number(values.seed));

function measureAll(seed: number): void {
  const rows: string[][] = [];
  for (const usualSlowdown of USUAL_SLOWDOWNS) {
    for (const knowledge of KNOWLEDGE) {
      const result = new ContendedFleet({ knowledge, usualSlowdown, seed })
        .run();
      rows.push([`${usualSlowdown}`, knowledge, ...formatResult(result)]);
    }
  }
  console.log(formatTable({
    title: "requests to three contended targets",
    head: [
      "usual slowdown",
      "knowledge",
      "requests",
      "at full targets",
      "served",
      "of them late",
      "rejected",
      "timed out",
      "asks",
      "p50, ms",
      "p99, ms",
    ],
    rows,
  }));
}

function formatResult(result: ContendedFleetResult): string[] {
  const { tookMs } = result;
  const percentile = (share: number) =>
    (tookMs[Math.floor(tookMs.length * share)] ?? 0).toFixed(0);
  return [
    `${result.requests}`,
    `${result.full}`,
    `${result.served}`,
    `${result.late}`,
    `${result.rejected}`,
    `${result.timedOut}`,
    `${result.asks}`,
    percentile(0.5),
    percentile(0.99),
  ];
}
