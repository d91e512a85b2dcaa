import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { waitUntil } from "../harness/index.ts";
import { ResponseFixture } from "./response_fixture.ts";

const LONG_RESPONSE_TOKENS = 100_000;

describe("clients that disconnect and engines that fail", () => {
  let fixture: ResponseFixture;

  beforeAll(async () => {
    fixture = await ResponseFixture.start();
  });

  afterAll(async () => {
    await fixture.stop();
  });

  it("resumes a stream on another engine when its engine crashes", async () => {
    const call = fixture.createCall(true, 60);
    const preferredTarget = await fixture.findPreferredTarget(call);
    await fixture.fleet.targets.setFaults(preferredTarget, {
      killAfterTokens: 20,
    });
    const result = await fixture.send(call);
    const [, killed, resumed] = await fixture.executionsOf(call);
    expect(result).toMatchObject({
      isOwnAndComplete: true,
      outcome: "completed",
    });
    expect(killed).toMatchObject({ target: preferredTarget, end: "crashed" });
    expect(resumed?.target).not.toBe(preferredTarget);
    expect(resumed?.resumedAfterTokens).toBeGreaterThan(0);
    await fixture.clearFaults();
  });

  for (const isStream of [true, false]) {
    const kind = isStream ? "stream" : "buffered response";
    it(`cancels a ${kind} at the engine when the client disconnects`, async () => {
      const call = fixture.createCall(isStream, LONG_RESPONSE_TOKENS);
      const controller = new AbortController();
      const pending = fetch(`${fixture.url}/v1/chat/completions`, {
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
        "the execution",
        async () => (await fixture.executionsOf(call)).length > 0,
      );
      controller.abort();
      await expect(pending).rejects.toThrow();
      await waitUntil(
        "the cancellation",
        async () =>
          (await fixture.executionsOf(call)).every((run) =>
            run.end === "cancelled"
          ),
      );
      expect(await fixture.executionsOf(call)).toHaveLength(1);
    });
  }

  it("retries on another engine when an idle connection closes", async () => {
    const call = fixture.createCall(false);
    const preferredTarget = await fixture.findPreferredTarget(call);
    await fixture.fleet.targets.setFaults(preferredTarget, {
      closeIdleOnWrite: true,
    });
    const result = await fixture.send(call);
    expect(result).toMatchObject({
      isOwnAndComplete: true,
      outcome: "completed",
    });
    await fixture.clearFaults();
  });
});
