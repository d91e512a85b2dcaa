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

/** The nonces in force, one for each daemon. */
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
  const first = await ana.run("publish", "--base", "1", "--wait");
  expect(first).toMatchObject({ exitCode: 0, json: { revision: 2 } });
}, TEST_LIMIT_MS);

afterAll(async () => {
  ana?.remove();
  ben?.remove();
  await fleet?.stop();
});

describe("publishing to a fleet of processes", () => {
  it(
    "lets one of two operators win and tells the other what changed",
    async () => {
      ben.copyObjectsFrom(ana);
      ana.writeObjects("teams", [team("joiners", 5), team("masons")]);
      ben.writeObjects("teams", [team("joiners"), team("masons", 7)]);
      const runs = await Promise.all([
        ana.run("publish", "--wait"),
        ben.run("publish", "--wait"),
      ]);
      const won = runs.filter((run) => run.exitCode === 0);
      const lost = runs.filter((run) =>
        run.exitCode === EXIT_CODES["conflict"]
      );
      expect([won.length, lost.length]).toEqual([1, 1]);
      const details = lost[0]?.json.error?.details.join("\n");
      const isAnaWinner = runs[0]?.exitCode === 0;
      expect(details).toContain(`revision 3 by ${isAnaWinner ? "ana" : "ben"}`);
      expect(details).toContain(
        `~ team/${isAnaWinner ? "joiners" : "masons"} (shareWeight)`,
      );
      const nonces = await readNonces();
      expect(new Set(nonces)).toEqual(new Set([won[0]?.json.nonce]));
      const winner = isAnaWinner ? ana : ben;
      const loser = isAnaWinner ? ben : ana;
      loser.copyObjectsFrom(winner);
    },
    TEST_LIMIT_MS,
  );

  it("recognises its publication where the answer was lost", async () => {
    await fleet.platform.setFaults("platform", {
      loseWriteAnswers: 1,
      loseKeyPrefix: HEAD_KEY,
    });
    ana.writeObjects("more", [team("carpenters")]);
    const run = await ana.run("publish", "--wait");
    expect(run).toMatchObject({
      exitCode: 0,
      json: { revision: 4, wasReadBack: true },
    });
    expect(new Set(await readNonces())).toEqual(new Set([run.json.nonce]));
  }, TEST_LIMIT_MS);

  it("publishes once where the writes themselves were lost", async () => {
    await fleet.platform.setFaults("platform", { dropWrites: 2 });
    ana.writeObjects("more", [team("carpenters", 2)]);
    const run = await ana.run("publish", "--wait");
    expect(run).toMatchObject({ exitCode: 0, json: { revision: 5 } });
  }, TEST_LIMIT_MS);

  it("publishes nothing where the platform is down", async () => {
    await fleet.platform.setFaults("platform", { down: true });
    ana.writeObjects("more", [team("carpenters", 3)]);
    const run = await ana.run("publish");
    expect(run.exitCode).toBe(EXIT_CODES["platform-unreachable"]);
    await fleet.platform.setFaults("platform", { down: false });
    const again = await ana.run("publish", "--wait");
    expect(again).toMatchObject({ exitCode: 0, json: { revision: 6 } });
  }, TEST_LIMIT_MS);

  it("writes what is published, ready to be published upon", async () => {
    const pulled = await ana.run("pull", ana.pathOf("pulled"));
    expect(pulled).toMatchObject({ exitCode: 0, json: { revision: 6 } });
    const again = await ana.run("publish", ana.pathOf("pulled"));
    expect(again).toMatchObject({ exitCode: 0, json: { revision: 6 } });
  }, TEST_LIMIT_MS);
});
