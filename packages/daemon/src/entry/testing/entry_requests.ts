const chat = (stream: boolean) =>
  JSON.stringify({
    model: "writer",
    stream,
    messages: [{ role: "user", content: "describe lot 7" }],
  });

/** The kinds of requests to the fixture's routes: name, path and body. */
export const ENTRY_REQUESTS: readonly (readonly [string, string, string])[] = [
  ["a call", "/services/bids/1", "a bid"],
  ["a chat", "/v1/chat/completions", chat(false)],
  ["a stream", "/v1/chat/completions", chat(true)],
];
