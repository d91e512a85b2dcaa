import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import { waitUntil } from "../harness/index.ts";
import { ResponseFixture } from "./response_fixture.ts";

const DEADLINE_MS = 500;

describe("requests to engines that respond after the deadline", () => {
  let fixture: ResponseFixture;

  beforeAll(async () => {
    fixture = await ResponseFixture.start();
  });

  afterEach(async () => {
    await fixture.clearFaults();
  });

  afterAll(async () => {
    await fixture.stop();
  });

  for (const faults of [{ lateAnswersMs: 5_000 }, { hang: true }]) {
    for (const isStream of [true, false]) {
      const name = `${JSON.stringify(faults)}, stream: ${isStream}`;
      it(`are cancelled, and no client gets their responses: ${name}`, async () => {
        const call = fixture.createCall(isStream);
        await fixture.setAllFaults(faults);
        const result = await fixture.send({ ...call, deadlineMs: DEADLINE_MS });
        expect(result).toMatchObject({
          isOwnAndComplete: false,
          outcome: "unknown",
        });
        await waitUntil("the cancellation", async () => {
          const runs = await fixture.executionsOf(call);
          return runs.length > 0 && runs.every((run) => run.end !== "running");
        });
        const other = fixture.createCall(isStream);
        await fixture.setAllFaults({ lateAnswersMs: 0, hang: false });
        expect((await fixture.send(other)).isOwnAndComplete).toBe(true);
      });
    }
  }
});

describe("a daemon that is killed during a stream", () => {
  it("leaves a stream that does not look complete", async () => {
    const fixture = await ResponseFixture.start();
    try {
      const call = fixture.createCall(true, 100_000);
      const pending = fixture.send(call);
      await waitUntil(
        "the first tokens",
        async () =>
          (await fixture.executionsOf(call)).some((run) => run.tokensSent > 10),
      );
      await fixture.fleet.daemon("entry-1").process.kill();
      expect(await pending).toMatchObject({ isEnded: false });
      await waitUntil(
        "the cancellation",
        async () =>
          (await fixture.executionsOf(call)).every((run) =>
            run.end === "cancelled"
          ),
      );
    } finally {
      await fixture.stop();
    }
  });
});
