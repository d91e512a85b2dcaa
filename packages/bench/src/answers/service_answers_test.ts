import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import type { ServiceCall } from "../harness/index.ts";
import { AnswerFixture, SERVICES } from "./answer_fixture.ts";

/** Every way in which a service can spoil an answer. */
const FAULTS: Record<string, object> = {
  "answers late": { lateAnswersMs: 300 },
  "names another request": { wrongId: true },
  "sends half an answer": { truncateAnswers: true },
  "runs and loses the answer": { loseAnswers: true },
  "runs and fails": { failStatus: 500 },
  "closes the connection before it runs": { closeBeforeRun: true },
  "closes idle connections": { closeIdleOnWrite: true },
  "never answers": { hang: true },
  "is busy": { refuseBusy: true },
  "is leaving": { leaving: true },
  "is down": { down: true },
};

const DEADLINE_MS = 1_000;

describe("answers of faulty services", () => {
  let fixture: AnswerFixture;
  let calls = 0;

  beforeAll(async () => {
    fixture = await AnswerFixture.start();
  });

  afterEach(async () => {
    await fixture.clearFaults();
  });

  afterAll(async () => {
    await fixture.stop();
  });

  function createCall(hasKey: boolean): ServiceCall {
    calls += 1;
    const key = hasKey ? { idempotencyKey: `key-${calls}` } : {};
    return {
      team: "lots",
      route: "bids",
      path: `/bids/${calls}`,
      body: JSON.stringify({ bid: calls }),
      deadlineMs: DEADLINE_MS,
      ...key,
    };
  }

  for (const [name, faults] of Object.entries(FAULTS)) {
    for (const hasKey of [true, false]) {
      const kind = hasKey ? "a call with a key" : "a call without a key";
      it(`${kind} runs once at most and is told so where each ${name}`, async () => {
        for (const service of SERVICES) {
          await fixture.fleet.targets.setFaults(service, faults);
        }
        const result = await fixture.caller.service(
          fixture.url,
          createCall(hasKey),
        );
        const runs = await fixture.fleet.targets.read("runs");
        const served = runs.filter((run) =>
          SERVICES.some((service) => service === run.target)
        );
        expect(served.length).toBeLessThanOrEqual(1);
        expect(result.isOwnAndWhole).toBe(result.outcome === "completed");
        if (result.outcome === "not-run") expect(served).toHaveLength(0);
        else if (!result.isOwnAndWhole) expect(result.outcome).toBe("unknown");
      });
    }
  }

  it("a call is told that it was not run where that is known", async () => {
    for (const service of SERVICES) {
      await fixture.fleet.targets.setFaults(service, { refuseBusy: true });
    }
    const result = await fixture.caller.service(fixture.url, createCall(true));
    expect(result.outcome).toBe("not-run");
  });
});
