import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { EXIT_CODES } from "@coltsfootford/cli";
import {
  EtcdGatewayClient,
  SystemTimerService,
} from "@coltsfootford/key-value";
import { Fleet, SMALL_PLAN } from "../harness/index.ts";

const TEST_LIMIT_MS = 120_000;
const DIGEST = "ab".repeat(16);

let fleet: Fleet;

/** Runs a command with `--json` and returns the parsed output. */
async function runCommand(...args: string[]) {
  const { exitCode, output } = await fleet.runCli([...args, "--json"]);
  return { exitCode, json: JSON.parse(output) };
}

beforeAll(async () => {
  fleet = await Fleet.start(SMALL_PLAN);
}, TEST_LIMIT_MS);

afterAll(async () => {
  await fleet?.stop();
});

describe("the operators' commands on a fleet of processes", () => {
  it(
    "show the revision in force at each daemon and who published it",
    async () => {
      const status = await runCommand("status");
      expect(status.exitCode).toBe(0);
      expect(status.json.daemons).toHaveLength(SMALL_PLAN.daemons.length);
      for (const daemon of status.json.daemons) {
        expect(daemon).toMatchObject({ isReachable: true, configRevision: 1 });
      }
      const history = await runCommand("history");
      expect(history.json.publications).toMatchObject([{ revision: 1 }]);
      const dump = await runCommand("dump");
      expect(Object.keys(dump.json)).toHaveLength(SMALL_PLAN.daemons.length);
    },
    TEST_LIMIT_MS,
  );

  it("drain an existing target and reject an unknown one", async () => {
    expect((await runCommand("drain", "writer-1")).exitCode).toBe(0);
    const unknown = await runCommand("drain", "writer-99");
    expect(unknown.exitCode).toBe(EXIT_CODES["not-found"]);
    expect(unknown.json.error.message).not.toContain("HTTP");
  }, TEST_LIMIT_MS);

  it("list and clear the quarantine", async () => {
    const client = new EtcdGatewayClient({
      endpoints: [fleet.platformUrl],
      timer: new SystemTimerService(),
      random: () => 0.5,
    });
    const notice = {
      digest: DIGEST,
      crashes: 2,
      availabilityZone: "zone-a",
      quarantinedAtMs: 0,
    };
    const key = `coltsfoot/quarantine/${DIGEST}`;
    await client.put(key, JSON.stringify(notice));
    await client.close();
    expect((await runCommand("quarantine", "list")).json.requests).toEqual([
      { digest: DIGEST, notice },
    ]);
    expect((await runCommand("quarantine", "clear", DIGEST)).exitCode).toBe(0);
    expect((await runCommand("quarantine", "list")).json.requests).toEqual([]);
    const again = await runCommand("quarantine", "clear", DIGEST);
    expect(again.exitCode).toBe(EXIT_CODES["not-found"]);
  }, TEST_LIMIT_MS);

  it("report which daemon is unreachable", async () => {
    const [first] = fleet.daemons;
    await first?.process.kill();
    const status = await runCommand("status");
    expect(status.exitCode).toBe(0);
    const reached = status.json.daemons.map((
      daemon: { isReachable: boolean },
    ) => daemon.isReachable);
    expect(reached.sort()).toEqual([false, true]);
  }, TEST_LIMIT_MS);
});
