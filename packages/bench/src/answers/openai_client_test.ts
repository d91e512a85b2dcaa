import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { expectedCompletion } from "@coltsfootford/standins";
import OpenAI from "openai";
import { AnswerFixture } from "./answer_fixture.ts";

const MAX_TOKENS = 40;
const QUESTION = [{ role: "user" as const, content: "What is in bin 7?" }];
const REQUEST = {
  model: "writer",
  messages: QUESTION,
  max_tokens: MAX_TOKENS,
};

describe("the openai client, changed in its base address alone", () => {
  let fixture: AnswerFixture;
  let client: OpenAI;

  beforeAll(async () => {
    fixture = await AnswerFixture.start();
    client = new OpenAI({
      baseURL: `${fixture.url}/v1`,
      apiKey: "unused",
      defaultHeaders: { "x-coltsfoot-team": "lots" },
      maxRetries: 0,
    });
  });

  afterAll(async () => {
    await fixture.stop();
  });

  async function readStream(): Promise<string> {
    const stream = await client.chat.completions.create({
      ...REQUEST,
      stream: true,
    });
    let text = "";
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? "";
    }
    return text;
  }

  it("gets a whole answer with its usage", async () => {
    const answer = await client.chat.completions.create(REQUEST);
    const { text } = expectedCompletion(QUESTION, MAX_TOKENS);
    expect(answer.choices[0]?.message.content).toBe(text);
    expect(answer.usage?.completion_tokens).toBe(MAX_TOKENS);
  });

  it("gets a whole stream", async () => {
    expect(await readStream()).toBe(
      expectedCompletion(QUESTION, MAX_TOKENS).text,
    );
  });

  it("gets a typed error for an unknown model", async () => {
    const asked = client.chat.completions.create({ ...REQUEST, model: "none" });
    await expect(asked).rejects.toThrow(OpenAI.NotFoundError);
  });

  it("throws on a stream that no engine could finish", async () => {
    await fixture.setAllFaults({ truncateAfterTokens: 5 });
    await expect(readStream()).rejects.toThrow();
    await fixture.clearFaults();
  });
});
