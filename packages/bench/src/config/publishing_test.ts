import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { EXIT_CODES } from "@coltsfootford/cli";
import { Fleet } from "../harness/index.ts";
import { CONFIG_PLAN, readConfig } from "./config_fleet.ts";
import { Operator } from "./operator.ts";

const HEAD_KEY = "coltsfoot/config/head";
const TEST_LIMIT_MS = 120_000;

let fleet: Fleet;
let ana: Operator;
let ben: Operator;

const team = (name: string, shareWeight = 1) => ({
  kind: "team" as const,
  name,
  shareWeight,
});

/** Reads the nonce of the set in force from each daemon. */
async function readNonces(): Promise<(string | undefined)[]> {
  const dumps = await Promise.all(fleet.daemons.map(readConfig));
  return dumps.map((dump) => dump.nonce);
}

beforeAll(async () => {
  fleet = await Fleet.start(CONFIG_PLAN);
  ana = new Operator(fleet, "ana");
  ben = new Operator(fleet, "ben");
  ana.writeObjects("teams", [team("joiners"), team("masons")]);
  // The harness has published revision 1.
  const first = await ana.runCommand("publish", "--base", "1", "--wait");
  expect(first).toMatchObject({ exitCode: 0, json: { revision: 2 } });
}, TEST_LIMIT_MS);

afterAll(async () => {
  ana?.remove();
  ben?.remove();
  await fleet?.stop();
});

describe("publishing to a fleet of processes", () => {
  it(
    "lets one of two operators succeed and reports the changes to the other",
    async () => {
      ben.copyObjectsFrom(ana);
      ana.writeObjects("teams", [team("joiners", 5), team("masons")]);
      ben.writeObjects("teams", [team("joiners"), team("masons", 7)]);
      const results = await Promise.all([
        ana.runCommand("publish", "--wait"),
        ben.runCommand("publish", "--wait"),
      ]);
      const succeeded = results.filter((result) => result.exitCode === 0);
      const conflicted = results.filter((result) =>
        result.exitCode === EXIT_CODES["conflict"]
      );
      expect([succeeded.length, conflicted.length]).toEqual([1, 1]);
      const details = conflicted[0]?.json.error?.details.join("\n");
      const isAnaWinner = results[0]?.exitCode === 0;
      expect(details).toContain(`revision 3 by ${isAnaWinner ? "ana" : "ben"}`);
      expect(details).toContain(
        `~ team/${isAnaWinner ? "joiners" : "masons"} (shareWeight)`,
      );
      const nonces = await readNonces();
      expect(new Set(nonces)).toEqual(new Set([succeeded[0]?.json.nonce]));
      const winner = isAnaWinner ? ana : ben;
      const loser = isAnaWinner ? ben : ana;
      loser.copyObjectsFrom(winner);
    },
    TEST_LIMIT_MS,
  );

  it(
    "finds its publication by reading back when the response was lost",
    async () => {
      await fleet.platform.setFaults("platform", {
        loseWriteAnswers: 1,
        loseKeyPrefix: HEAD_KEY,
      });
      ana.writeObjects("more", [team("carpenters")]);
      const result = await ana.runCommand("publish", "--wait");
      expect(result).toMatchObject({
        exitCode: 0,
        json: { revision: 4, wasReadBack: true },
      });
      expect(new Set(await readNonces())).toEqual(new Set([result.json.nonce]));
    },
    TEST_LIMIT_MS,
  );

  it("publishes once when the write requests were lost", async () => {
    await fleet.platform.setFaults("platform", { dropWrites: 2 });
    ana.writeObjects("more", [team("carpenters", 2)]);
    const result = await ana.runCommand("publish", "--wait");
    expect(result).toMatchObject({ exitCode: 0, json: { revision: 5 } });
  }, TEST_LIMIT_MS);

  it("publishes nothing while the platform is down", async () => {
    await fleet.platform.setFaults("platform", { down: true });
    ana.writeObjects("more", [team("carpenters", 3)]);
    const failed = await ana.runCommand("publish");
    expect(failed.exitCode).toBe(EXIT_CODES["platform-unreachable"]);
    await fleet.platform.setFaults("platform", { down: false });
    const retried = await ana.runCommand("publish", "--wait");
    expect(retried).toMatchObject({ exitCode: 0, json: { revision: 6 } });
  }, TEST_LIMIT_MS);

  it("pulls the published set as a base for the next publication", async () => {
    const pulled = await ana.runCommand("pull", ana.pathOf("pulled"));
    expect(pulled).toMatchObject({ exitCode: 0, json: { revision: 6 } });
    const republished = await ana.runCommand("publish", ana.pathOf("pulled"));
    expect(republished).toMatchObject({ exitCode: 0, json: { revision: 6 } });
  }, TEST_LIMIT_MS);

  // Guards against a check that publishes, or that omits the comparison although
  // the platform responds.
  it("compares checked files with the published set", async () => {
    ana.writeObjects("more", [team("carpenters", 4)]);
    const checked = await ana.runCommand("check", "--compare");
    expect(checked).toMatchObject({
      exitCode: 0,
      json: {
        comparison: {
          revision: 6,
          changes: [{ key: "team/carpenters", fields: ["shareWeight"] }],
        },
      },
    });
    const compared = await ana.runCommand("diff");
    expect(compared.json).toMatchObject({ revision: 6 });
  }, TEST_LIMIT_MS);
});
