import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import { waitUntil } from "../harness/index.ts";
import { AnswerFixture } from "./answer_fixture.ts";

const DEADLINE_MS = 500;

describe("engines that answer after the deadline", () => {
  let fixture: AnswerFixture;

  beforeAll(async () => {
    fixture = await AnswerFixture.start();
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
      it(`are cancelled, and their answers reach nobody: ${name}`, async () => {
        const call = fixture.createCall(isStream);
        await fixture.setAllFaults(faults);
        const result = await fixture.ask({ ...call, deadlineMs: DEADLINE_MS });
        expect(result).toMatchObject({
          isOwnAndWhole: false,
          outcome: "unknown",
        });
        await waitUntil("the cancellation", async () => {
          const runs = await fixture.runsOf(call);
          return runs.length > 0 && runs.every((run) => run.end !== "running");
        });
        const other = fixture.createCall(isStream);
        await fixture.setAllFaults({ lateAnswersMs: 0, hang: false });
        expect((await fixture.ask(other)).isOwnAndWhole).toBe(true);
      });
    }
  }
});

describe("a daemon that is killed in mid-stream", () => {
  it("leaves a stream that does not look whole", async () => {
    const fixture = await AnswerFixture.start();
    try {
      const call = fixture.createCall(true, 100_000);
      const asked = fixture.ask(call);
      await waitUntil(
        "the first tokens",
        async () =>
          (await fixture.runsOf(call)).some((run) => run.tokensSent > 10),
      );
      await fixture.fleet.daemon("entry-1").process.kill();
      expect(await asked).toMatchObject({ isEnded: false });
      await waitUntil(
        "the cancellation",
        async () =>
          (await fixture.runsOf(call)).every((run) => run.end === "cancelled"),
      );
    } finally {
      await fixture.stop();
    }
  });
});
