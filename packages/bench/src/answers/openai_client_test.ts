import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { expectedCompletion } from "@coltsfootford/standins";
import OpenAI from "openai";
import { ResponseFixture } from "./response_fixture.ts";

const MAX_TOKENS = 40;
const MESSAGES = [{ role: "user" as const, content: "What is in bin 7?" }];
const REQUEST = {
  model: "writer",
  messages: MESSAGES,
  max_tokens: MAX_TOKENS,
};

describe("the openai client, with only its base URL changed", () => {
  let fixture: ResponseFixture;
  let client: OpenAI;

  beforeAll(async () => {
    fixture = await ResponseFixture.start();
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

  it("gets a complete response with its usage", async () => {
    const response = await client.chat.completions.create(REQUEST);
    const { text } = expectedCompletion(MESSAGES, MAX_TOKENS);
    expect(response.choices[0]?.message.content).toBe(text);
    expect(response.usage?.completion_tokens).toBe(MAX_TOKENS);
  });

  it("gets a complete stream", async () => {
    expect(await readStream()).toBe(
      expectedCompletion(MESSAGES, MAX_TOKENS).text,
    );
  });

  it("gets a typed error for an unknown model", async () => {
    const pending = client.chat.completions.create({
      ...REQUEST,
      model: "none",
    });
    await expect(pending).rejects.toThrow(OpenAI.NotFoundError);
  });

  it("throws on a stream that no engine could finish", async () => {
    await fixture.setAllFaults({ truncateAfterTokens: 5 });
    await expect(readStream()).rejects.toThrow();
    await fixture.clearFaults();
  });
});
