/** The measurement `node packages/bench/dist/rate_limit/main.js`. */
import { parseArgs } from "node:util";
import { formatTable } from "../report/index.ts";
import {
  measureRateLimit,
  type RateLimitOptions,
  type RateLimitResult,
} from "./measure_rate_limit.ts";

const HELP = `node packages/bench/dist/rate_limit/main.js [options]

Measures how many requests reach targets that name a limit, over all daemons,
with the daemons' own decisions and fakes of the targets.

Options:
  --sizes LIST    daemons/targets (default 6/98,67/98,134/98,300/98,300/300)
  --share LIST    shares of the targets that name a limit (default 0.7,0.9)
  --factor LIST   limits, as multiples of the mean rate (default 0.5,0.15)
  --later N       factor of the limits in the second half of the time
  --restarts N    daemons that restart in each second (default 0)
  --seed N        seed of the traffic (default 7)
  --json          one JSON line for each measurement in place of a table
  --help          this text
`;
const SIZE_PATTERN = /^[1-9]\d*\/[1-9]\d*$/;
const USAGE_EXIT_CODE = 2;

const { values } = parseArgs({
  options: {
    sizes: { type: "string", default: "6/98,67/98,134/98,300/98,300/300" },
    share: { type: "string", default: "0.7,0.9" },
    factor: { type: "string", default: "0.5,0.15" },
    later: { type: "string" },
    restarts: { type: "string", default: "0" },
    seed: { type: "string", default: "7" },
    json: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
  },
});
const sizes = values.sizes.split(",");
const shares = values.share.split(",").map(Number);
const factors = values.factor.split(",").map(Number);
const later = values.later === undefined ? undefined : Number(values.later);
const numbers = [
  ...shares,
  ...factors,
  later ?? 0,
  Number(values.restarts),
  Number(values.seed),
];
const isValid = sizes.every((size) => SIZE_PATTERN.test(size)) &&
  numbers.every(Number.isFinite);
if (values.help) console.log(HELP);
else if (isValid) measureAll();
else {
  console.error(HELP);
  process.exitCode = USAGE_EXIT_CODE;
}

function measureAll(): void {
  const rows: string[][] = [];
  for (const size of sizes) {
    const [daemons = 0, targets = 0] = size.split("/").map(Number);
    for (const share of shares) {
      for (const factor of factors) {
        const options: RateLimitOptions = {
          daemons,
          targets,
          share,
          factor,
          laterFactor: later,
          seed: Number(values.seed),
          restartsPerSecond: Number(values.restarts),
        };
        const result = measureRateLimit(options);
        if (values.json) console.log(JSON.stringify(result));
        rows.push([size, `${share}`, `${factor}`, ...formatResult(result)]);
      }
    }
  }
  if (values.json) return;
  console.log(formatTable({
    title: "requests that reach targets with a limit",
    head: [
      "daemons/targets",
      "limited",
      "factor",
      "worst 4 s of the bound, %",
      "used, %",
      "rejected, %",
      "first, ms",
      "p95, ms",
      "messages/s",
      "placement, us",
    ],
    rows,
  }));
}

function formatResult(result: RateLimitResult): string[] {
  const percent = (share: number) => (share * 100).toFixed(1);
  return [
    percent(result.worstShare),
    percent(result.usedShare),
    percent(result.rejectedShare),
    result.firstEventMeanMs.toFixed(0),
    result.firstEventP95Ms.toFixed(0),
    result.messagesPerSecond.toFixed(1),
    result.placementUs.toFixed(0),
  ];
}
