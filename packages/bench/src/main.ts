/** The command `npm run bench`. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { runCapacity } from "./capacity/index.ts";
import { DEPLOYMENTS } from "./load/index.ts";
import { runBench } from "./run_bench.ts";

const HELP = `npm run bench -- [replay|capacity] [options]

replay    (default) replays the same load through every policy, side by side
capacity  measures what docs/CAPACITY.md is worked out from

Options of replay:
  --seed N           seed of the load and the faults (default 7)
  --quick            21 minutes of load in place of 70
  --judged           only the contenders that the targets are judged by
  --deployment NAME  trust, barandas, large-zone or all (default all)
  --out DIR          where traces and reports go (default .tmp/bench)
  --help             this text

Examples:
  npm run bench -- --quick --deployment trust
  npm run bench -- capacity
`;

const USAGE_EXIT_CODE = 2;

function main(): void {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      seed: { type: "string", default: "7" },
      judged: { type: "boolean", default: false },
      quick: { type: "boolean", default: false },
      deployment: { type: "string", default: "all" },
      out: { type: "string", default: ".tmp/bench" },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) return console.log(HELP);
  const command = positionals[0] ?? "replay";
  mkdirSync(values.out, { recursive: true });
  const write = (name: string, text: string) =>
    writeFileSync(join(values.out, name), text);
  const print = (line: string) => console.log(line);
  if (command === "capacity") return runCapacity({ print, write });
  const knownDeployments = [
    ...DEPLOYMENTS.map((entry) => entry.name),
    "large-zone",
    "all",
  ];
  const seed = Number(values.seed);
  const isValid = command === "replay" &&
    knownDeployments.includes(values.deployment) &&
    Number.isSafeInteger(seed);
  if (!isValid) {
    console.error(HELP);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const isAll = values.deployment === "all";
  runBench({
    seed,
    isQuick: values.quick,
    isJudgedOnly: values.judged,
    deployments: DEPLOYMENTS.filter((entry) =>
      isAll || entry.name === values.deployment
    ),
    hasLargeZone: isAll || values.deployment === "large-zone",
    print,
    write,
  });
  print(`reports are in ${values.out}`);
}

main();
