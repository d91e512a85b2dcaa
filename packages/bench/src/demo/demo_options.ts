import { parseArgs } from "node:util";
import {
  BARANDAS_PLAN,
  BATINAH_PLAN,
  type FleetPlan,
} from "../harness/index.ts";

/** Size and deployments of a demo. */
export interface DemoOptions {
  readonly deployments: readonly DemoDeployment[];
  readonly chats: number;
  readonly turnsPerChat: number;
  readonly bookings: number;
  /** Maximum number of chats and bookings in progress. */
  readonly concurrency: number;
  readonly seed: number;
}

/** A fleet plan with the names that clients use in requests. */
export interface DemoDeployment {
  readonly plan: FleetPlan;
  readonly model: string;
  /** Route of requests that may execute at most once. */
  readonly bookingRoute: string;
  readonly teams: readonly string[];
}

const BATINAH: DemoDeployment = {
  plan: BATINAH_PLAN,
  model: "lot-writer",
  bookingRoute: "bid-confirmation",
  teams: ["sohar-carpenters", "barka-timber-yards", "rustaq-schools"],
};
const BARANDAS: DemoDeployment = {
  plan: BARANDAS_PLAN,
  model: "survey-writer",
  bookingRoute: "install-booking",
  teams: ["cordoba-clinicas", "rosario-hogares", "franchise-office"],
};
const FULL = { chats: 150, turnsPerChat: 3, bookings: 150, concurrency: 32 };
const SMOKE = { chats: 30, turnsPerChat: 2, bookings: 30, concurrency: 16 };
const DEFAULT_SEED = 1;

export const USAGE = `usage: npm run demo [-- OPTIONS]

  --smoke          a short run of one deployment, for CI
  --concurrency N  chats and bookings in progress at a time
  --seed N         seed of the load, ${DEFAULT_SEED} unless given
  --help           print this help
`;

/** Parses the command line; returns undefined for `--help`. */
export function readDemoOptions(args: string[]): DemoOptions | undefined {
  const { values } = parseArgs({
    args,
    options: {
      smoke: { type: "boolean", default: false },
      concurrency: { type: "string" },
      seed: { type: "string", default: String(DEFAULT_SEED) },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) return undefined;
  const seed = Number(values.seed);
  if (!Number.isInteger(seed)) throw new Error("--seed takes a whole number");
  const size = values.smoke ? SMOKE : FULL;
  const concurrency = Number(values.concurrency ?? size.concurrency);
  if (!Number.isInteger(concurrency) || concurrency < 1) {
    throw new Error("--concurrency takes a whole number above 0");
  }
  const deployments = values.smoke ? [BATINAH] : [BATINAH, BARANDAS];
  return { ...size, concurrency, deployments, seed };
}
