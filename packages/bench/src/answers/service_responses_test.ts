import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import type { ServiceCall } from "../harness/index.ts";
import { ResponseFixture, SERVICES } from "./response_fixture.ts";

/** Every fault of a service that can affect a response. */
const FAULTS: Record<string, object> = {
  "responds late": { lateAnswersMs: 300 },
  "names another request": { wrongId: true },
  "truncates the response": { truncateAnswers: true },
  "executes the call and loses the response": { loseAnswers: true },
  "executes the call and fails": { failStatus: 500 },
  "closes the connection before it executes the call": { closeBeforeRun: true },
  "closes idle connections": { closeIdleOnWrite: true },
  "never responds": { hang: true },
  "is busy": { refuseBusy: true },
  "is leaving": { leaving: true },
  "is down": { down: true },
};

const DEADLINE_MS = 1_000;

describe("responses of faulty services", () => {
  let fixture: ResponseFixture;
  let calls = 0;

  beforeAll(async () => {
    fixture = await ResponseFixture.start();
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
      it(`${kind} is executed at most once and gets its outcome if each service ${name}`, async () => {
        for (const service of SERVICES) {
          await fixture.fleet.targets.setFaults(service, faults);
        }
        const result = await fixture.client.service(
          fixture.url,
          createCall(hasKey),
        );
        const runs = await fixture.fleet.targets.read("runs");
        const served = runs.filter((run) =>
          SERVICES.some((service) => service === run.target)
        );
        expect(served.length).toBeLessThanOrEqual(1);
        expect(result.isOwnAndComplete).toBe(result.outcome === "completed");
        if (result.outcome === "not-run") expect(served).toHaveLength(0);
        else if (!result.isOwnAndComplete) {
          expect(result.outcome).toBe("unknown");
        }
      });
    }
  }

  it("a call gets the outcome not-run if no service executed it", async () => {
    for (const service of SERVICES) {
      await fixture.fleet.targets.setFaults(service, { refuseBusy: true });
    }
    const result = await fixture.client.service(fixture.url, createCall(true));
    expect(result.outcome).toBe("not-run");
  });
});
