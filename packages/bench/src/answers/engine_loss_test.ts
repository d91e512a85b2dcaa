import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { waitUntil } from "../harness/index.ts";
import { AnswerFixture } from "./answer_fixture.ts";

const LONG_ANSWER_TOKENS = 100_000;

describe("callers and engines that go away", () => {
  let fixture: AnswerFixture;

  beforeAll(async () => {
    fixture = await AnswerFixture.start();
  });

  afterAll(async () => {
    await fixture.stop();
  });

  it("resumes a stream elsewhere when its engine dies in mid-stream", async () => {
    const call = fixture.createCall(true, 60);
    const home = await fixture.findHome(call);
    await fixture.fleet.targets.setFaults(home, { killAfterTokens: 20 });
    const result = await fixture.ask(call);
    const [, killed, resumed] = await fixture.runsOf(call);
    expect(result).toMatchObject({
      isOwnAndWhole: true,
      outcome: "completed",
    });
    expect(killed).toMatchObject({ target: home, end: "crashed" });
    expect(resumed?.target).not.toBe(home);
    expect(resumed?.resumedAfterTokens).toBeGreaterThan(0);
    await fixture.clearFaults();
  });

  for (const isStream of [true, false]) {
    const kind = isStream ? "stream" : "whole answer";
    it(`cancels a ${kind} at the engine when the caller hangs up`, async () => {
      const call = fixture.createCall(isStream, LONG_ANSWER_TOKENS);
      const controller = new AbortController();
      const asked = fetch(`${fixture.url}/v1/chat/completions`, {
        method: "POST",
        headers: {
          "x-coltsfoot-team": call.team,
          "x-coltsfoot-chat": call.chat,
        },
        body: JSON.stringify({
          model: call.model,
          messages: call.messages,
          max_tokens: call.maxTokens,
          stream: isStream,
        }),
        signal: controller.signal,
      }).then((response) => response.text());
      await waitUntil(
        "the run",
        async () => (await fixture.runsOf(call)).length > 0,
      );
      controller.abort();
      await expect(asked).rejects.toThrow();
      await waitUntil(
        "the cancellation",
        async () =>
          (await fixture.runsOf(call)).every((run) => run.end === "cancelled"),
      );
      expect(await fixture.runsOf(call)).toHaveLength(1);
    });
  }

  it("retries on another engine when an idle connection closes", async () => {
    const call = fixture.createCall(false);
    const home = await fixture.findHome(call);
    await fixture.fleet.targets.setFaults(home, { closeIdleOnWrite: true });
    const result = await fixture.ask(call);
    expect(result).toMatchObject({
      isOwnAndWhole: true,
      outcome: "completed",
    });
    await fixture.clearFaults();
  });
});
