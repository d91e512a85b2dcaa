/** Splits a byte stream into lines of UTF-8 text and skips blank lines. */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of chunks) {
    rest += decoder.decode(chunk, { stream: true });
    const lines = rest.split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      if (line.trim() !== "") yield line;
    }
  }
  if (rest.trim() !== "") yield rest;
}
