/** The measurement `node packages/bench/dist/load_bound/main.js`. */
import { parseArgs } from "node:util";
import { formatTable } from "../report/index.ts";
import {
  type LoadBoundResult,
  measureLoadBound,
} from "./measure_load_bound.ts";
import { type HotSubject, LARGE_MODEL_SERVICE } from "./workload.ts";

const HELP = `node packages/bench/dist/load_bound/main.js [options]

Measures how many requests reach a target above the load bound, over all
daemons, with the daemons' own decisions and fakes of the targets.

Options:
  --sizes LIST    daemons/targets (default 6/98,67/98,134/98,300/98,300/300)
  --hot LIST      none, or the kind of request of which one prompt is popular:
                  report, chat, tag (default none,report,chat,tag)
  --share N       share of the requests for the popular prompt (default 0.28)
  --seed N        seed of the traffic (default 7)
  --seconds N     measured time (default 30)
  --json          one JSON line for each measurement in place of a table
  --help          this text
`;
const HOT_FROM_MS = 8_000;
const HOT_UNTIL_MS = 20_000;
const MS_PER_S = 1_000;
const KINDS = ["none", ...LARGE_MODEL_SERVICE.map(({ name }) => name)];
const SIZE_PATTERN = /^[1-9]\d*\/[1-9]\d*$/;
const USAGE_EXIT_CODE = 2;

const { values } = parseArgs({
  options: {
    sizes: { type: "string", default: "6/98,67/98,134/98,300/98,300/300" },
    hot: { type: "string", default: "none,report,chat,tag" },
    share: { type: "string", default: "0.28" },
    seed: { type: "string", default: "7" },
    seconds: { type: "string", default: "30" },
    json: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
  },
});
const kinds = values.hot.split(",");
const sizes = values.sizes.split(",");
const numbers = [values.share, values.seed, values.seconds].map(Number);
const isValid = kinds.every((kind) => KINDS.includes(kind)) &&
  sizes.every((size) => SIZE_PATTERN.test(size)) &&
  numbers.every(Number.isFinite);
if (values.help) console.log(HELP);
else if (isValid) measureAll();
else {
  console.error(HELP);
  process.exitCode = USAGE_EXIT_CODE;
}

function measureAll(): void {
  const rows: string[][] = [];
  for (const kind of kinds) {
    for (const size of sizes) {
      const [daemons = 0, targets = 0] = size.split("/").map(Number);
      const result = measureLoadBound({
        daemons,
        targets,
        seed: Number(values.seed),
        durationMs: Number(values.seconds) * MS_PER_S,
        hot: kind === "none" ? [] : [createHotSubject(kind)],
      });
      if (values.json) console.log(JSON.stringify(result));
      rows.push([kind, size, ...formatResult(result)]);
    }
  }
  if (values.json) return;
  console.log(formatTable({
    title: "requests that reach a target above the load bound",
    head: [
      "popular",
      "daemons/targets",
      "over, %",
      "worst 5 s, %",
      "main targets",
      "reasons",
      "report, s",
      "unreported, %",
      "load",
      "first, ms",
      "p95, ms",
      "missing tokens",
      "placement, us",
      "announced/s",
    ],
    rows,
  }));
}

function createHotSubject(kind: string): HotSubject {
  return {
    kind,
    share: Number(values.share),
    fromMs: HOT_FROM_MS,
    untilMs: HOT_UNTIL_MS,
  };
}

function formatResult(result: LoadBoundResult): string[] {
  const percent = (share: number) => (share * 100).toFixed(2);
  return [
    percent(result.overBoundShare),
    percent(result.worstWindowShare),
    `${result.concentratedTargets}`,
    Object.entries(result.overBoundByReason)
      .map(([reason, count]) => `${reason} ${count}`).join(" "),
    (result.meanReportAgeMs / MS_PER_S).toFixed(1),
    percent(result.unreportedShare),
    result.meanLoad.toFixed(1),
    result.firstEventMeanMs.toFixed(0),
    result.firstEventP95Ms.toFixed(0),
    result.missingTokens.toFixed(0),
    result.placementUs.toFixed(0),
    result.announcementsPerSecond.toFixed(1),
  ];
}
