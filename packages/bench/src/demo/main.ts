/** Starts the example deployments as processes and reports their results. */
import { Fleet } from "../harness/index.ts";
import { DemoLoad } from "./demo_load.ts";
import {
  type DemoDeployment,
  type DemoOptions,
  readDemoOptions,
  USAGE,
} from "./demo_options.ts";
import {
  createReport,
  formatReport,
  hasDemoPassed,
  sampleTraffic,
} from "./demo_report.ts";

const EXIT_OK = 0;
const EXIT_GUARANTEE_VIOLATED = 1;
const EXIT_USAGE = 2;
const PROGRESS_STEPS = 20;

/** Runs one deployment; returns true if it violated no guarantee. */
async function runDeployment(
  deployment: DemoDeployment,
  options: DemoOptions,
): Promise<boolean> {
  const { plan } = deployment;
  console.log(
    `${plan.name}: starting ${plan.daemons.length} daemons over ` +
      `${plan.availabilityZones.length} availability zones`,
  );
  const fleet = await Fleet.start(plan);
  try {
    console.log(`${plan.name}: configuration is in force, sending requests`);
    const before = await sampleTraffic(fleet);
    const load = new DemoLoad(fleet, deployment, options, printProgress);
    await load.run();
    const report = await createReport(fleet, load.counts, before);
    console.log(formatReport(plan.name, report));
    return hasDemoPassed(report);
  } finally {
    await fleet.stop();
  }
}

function printProgress(done: number, total: number): void {
  const step = Math.ceil(total / PROGRESS_STEPS);
  if (done % step !== 0 && done !== total) return;
  if (process.stdout.isTTY) process.stdout.write(`\r  ${done} of ${total}`);
  else if (done === total) console.log(`  ${done} of ${total} requests done`);
  if (process.stdout.isTTY && done === total) process.stdout.write("\n");
}

async function main(): Promise<number> {
  const options = readDemoOptions(process.argv.slice(2));
  if (!options) {
    console.log(USAGE);
    return EXIT_OK;
  }
  let hasPassed = true;
  for (const deployment of options.deployments) {
    hasPassed = await runDeployment(deployment, options) && hasPassed;
  }
  console.log(
    hasPassed
      ? "Every answer was whole and own, and no booking ran twice."
      : "A promise was broken.",
  );
  return hasPassed ? EXIT_OK : EXIT_GUARANTEE_VIOLATED;
}

try {
  process.exitCode = await main();
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = EXIT_USAGE;
}
