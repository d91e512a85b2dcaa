import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import {
  expectedCompletion,
  FOREIGN_COMPLETION_ID,
} from "@coltsfootford/standins";
import type { CallResult, ChatCall } from "../harness/index.ts";
import { ResponseFixture } from "./response_fixture.ts";

/** Every fault of an engine that can affect a response. */
const FAULTS: Record<string, object> = {
  late: { lateAnswersMs: 300 },
  crossed: { crossedAnswers: true },
  "with a wrong id": { wrongId: true },
  "with every chunk twice": { doubledChunks: true },
  "with the complete response twice": { doubledAnswers: true },
  "truncated by a broken connection": { truncateAfterTokens: 5 },
  "truncated with a clean end": {
    truncateAfterTokens: 5,
    truncateCleanly: true,
  },
  "truncated before the first token": { truncateAfterTokens: 0 },
  "interrupted by a crash of the engine": {
    killAfterTokens: 5,
    restartAfterMs: 50,
  },
};

/** Faults that are undetectable in a stream whose events have no ids. */
const UNDETECTABLE_FAULTS: Record<string, object> = {
  "with every chunk twice": { doubledChunks: true },
  "with every chunk twice, then truncated": {
    doubledChunks: true,
    truncateAfterTokens: 5,
  },
  "with the complete response twice": { doubledAnswers: true },
};

/** Whether the client received nothing but a prefix of its own response. */
function isOwnPrefix(call: ChatCall, result: CallResult): boolean {
  if (result.status !== 200) return true;
  if (result.responseId === FOREIGN_COMPLETION_ID) return false;
  return expectedCompletion(call.messages, call.maxTokens).text.startsWith(
    result.text,
  );
}

describe("responses of faulty engines", () => {
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

  for (const [name, faults] of Object.entries(FAULTS)) {
    for (const isStream of [true, false]) {
      const kind = isStream ? "a stream" : "a buffered response";
      it(`${kind} ${name} at one engine still reaches its client`, async () => {
        const call = fixture.createCall(isStream);
        const preferredTarget = await fixture.findPreferredTarget(call);
        await fixture.fleet.targets.setFaults(preferredTarget, faults);
        const result = await fixture.send(call);
        const next = await fixture.send(call);
        for (
          const { isOwnAndComplete, outcome, responseId } of [result, next]
        ) {
          expect([isOwnAndComplete, outcome]).toEqual([true, "completed"]);
          expect(responseId).not.toBe(FOREIGN_COMPLETION_ID);
        }
      });

      it(`${kind} ${name} at every engine never looks complete`, async () => {
        const call = fixture.createCall(isStream);
        await fixture.setAllFaults(faults);
        const result = await fixture.send(call);
        const looksComplete = result.isEnded && result.status === 200;
        expect(looksComplete).toBe(result.isOwnAndComplete);
        expect(isOwnPrefix(call, result)).toBe(true);
        const outcome = result.isOwnAndComplete ? "completed" : "unknown";
        expect(result.outcome).toBe(outcome);
      });
    }
  }
});

describe("streams whose events have no ids", () => {
  let fixture: ResponseFixture;

  beforeAll(async () => {
    fixture = await ResponseFixture.start({ sendsEventIds: false });
  });

  afterAll(async () => {
    await fixture.stop();
  });

  for (const [name, faults] of Object.entries(UNDETECTABLE_FAULTS)) {
    it(`never look complete ${name} at one engine`, async () => {
      const call = fixture.createCall(true);
      const preferredTarget = await fixture.findPreferredTarget(call);
      await fixture.fleet.targets.setFaults(preferredTarget, faults);
      const result = await fixture.send(call);
      expect(result.isEnded).toBe(result.isOwnAndComplete);
      await fixture.clearFaults();
    });
  }

  it("are complete if no engine has a fault", async () => {
    const result = await fixture.send(fixture.createCall(true));
    expect(result).toMatchObject({
      isOwnAndComplete: true,
      outcome: "completed",
    });
  });
});
