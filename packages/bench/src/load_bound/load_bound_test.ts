import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { describe, expect, it } from "@jest/globals";
import {
  type LoadBoundResult,
  MAX_OVER_BOUND_SHARE,
} from "./measure_load_bound.ts";

const MAIN = "packages/bench/dist/load_bound/main.js";

/** Runs the measurement in a process, which takes a tenth of the time of Jest. */
async function measure(...args: string[]): Promise<LoadBoundResult> {
  const { stdout } = await promisify(execFile)(process.execPath, [
    MAIN,
    "--json",
    "--seconds",
    "20",
    ...args,
  ]);
  return JSON.parse(stdout) as LoadBoundResult;
}

describe("the load bound over a whole fleet", () => {
  // Guards against one preferred target that all daemons send a popular part
  // to, although none of them sees its load.
  it.each(["report", "chat", "tag"])(
    "holds while a prompt of the kind %s is popular",
    async (kind) => {
      for (const seed of ["1", "2", "3"]) {
        const sizes = ["--sizes", "67/98", "--hot", kind, "--seed", seed];
        const { worstWindowShare } = await measure(...sizes);
        expect(worstWindowShare).toBeLessThanOrEqual(MAX_OVER_BOUND_SHARE);
      }
    },
  );

  // Guards against targets that count as idle because their last report is old
  // or missing, and against a whole zone that falls back to the same target.
  it.each(["300/98", "300/300"])(
    "holds in calm traffic with %s daemons and targets",
    async (sizes) => {
      const { worstWindowShare } = await measure(
        ...["--sizes", sizes, "--hot", "none", "--seed", "1"],
      );
      expect(worstWindowShare).toBeLessThanOrEqual(MAX_OVER_BOUND_SHARE);
    },
  );
});
