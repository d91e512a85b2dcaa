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
import { AnswerFixture } from "./answer_fixture.ts";

/** Every way in which an engine can spoil an answer. */
const FAULTS: Record<string, object> = {
  late: { lateAnswersMs: 300 },
  crossed: { crossedAnswers: true },
  "with a wrong id": { wrongId: true },
  "with every chunk twice": { doubledChunks: true },
  "with the whole answer twice": { doubledAnswers: true },
  "truncated by a broken connection": { truncateAfterTokens: 5 },
  "truncated with a clean end": {
    truncateAfterTokens: 5,
    truncateCleanly: true,
  },
  "truncated before the first token": { truncateAfterTokens: 0 },
  "broken off by the death of the engine": {
    killAfterTokens: 5,
    restartAfterMs: 50,
  },
};

/** Faults that leave no trace in a stream whose events have no ids. */
const TRACELESS_FAULTS: Record<string, object> = {
  "with every chunk twice": { doubledChunks: true },
  "with every chunk twice, then broken off": {
    doubledChunks: true,
    truncateAfterTokens: 5,
  },
  "with the whole answer twice": { doubledAnswers: true },
};

/** Whether the caller was given a part of its own answer and nothing else. */
function isOwnPart(call: ChatCall, result: CallResult): boolean {
  if (result.status !== 200) return true;
  if (result.answerId === FOREIGN_COMPLETION_ID) return false;
  return expectedCompletion(call.messages, call.maxTokens).text.startsWith(
    result.text,
  );
}

describe("answers of faulty engines", () => {
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

  for (const [name, faults] of Object.entries(FAULTS)) {
    for (const isStream of [true, false]) {
      const kind = isStream ? "a stream" : "a whole answer";
      it(`${kind} ${name} at one engine still reaches its caller`, async () => {
        const call = fixture.createCall(isStream);
        const home = await fixture.findHome(call);
        await fixture.fleet.targets.setFaults(home, faults);
        const result = await fixture.ask(call);
        const next = await fixture.ask(call);
        for (const { isOwnAndWhole, outcome, answerId } of [result, next]) {
          expect([isOwnAndWhole, outcome]).toEqual([true, "completed"]);
          expect(answerId).not.toBe(FOREIGN_COMPLETION_ID);
        }
      });

      it(`${kind} ${name} at every engine never looks whole`, async () => {
        const call = fixture.createCall(isStream);
        await fixture.setAllFaults(faults);
        const result = await fixture.ask(call);
        const claimsWhole = result.isEnded && result.status === 200;
        expect(claimsWhole).toBe(result.isOwnAndWhole);
        expect(isOwnPart(call, result)).toBe(true);
        const outcome = result.isOwnAndWhole ? "completed" : "unknown";
        expect(result.outcome).toBe(outcome);
      });
    }
  }
});

describe("streams whose events have no ids", () => {
  let fixture: AnswerFixture;

  beforeAll(async () => {
    fixture = await AnswerFixture.start({ sendsEventIds: false });
  });

  afterAll(async () => {
    await fixture.stop();
  });

  for (const [name, faults] of Object.entries(TRACELESS_FAULTS)) {
    it(`never look whole ${name} at one engine`, async () => {
      const call = fixture.createCall(true);
      const home = await fixture.findHome(call);
      await fixture.fleet.targets.setFaults(home, faults);
      const result = await fixture.ask(call);
      expect(result.isEnded).toBe(result.isOwnAndWhole);
      await fixture.clearFaults();
    });
  }

  it("are whole where no engine has a fault", async () => {
    const result = await fixture.ask(fixture.createCall(true));
    expect(result).toMatchObject({ isOwnAndWhole: true, outcome: "completed" });
  });
});
