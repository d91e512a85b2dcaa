import { randomUUID } from "node:crypto";
import { Publisher, readPublishedSet } from "@coltsfootford/cli";
import { createObjectSet, objectSchema } from "@coltsfootford/core";
import {
  EtcdGatewayClient,
  SystemTimerService,
} from "@coltsfootford/key-value";
import { ResultAsync } from "neverthrow";
import type { ObjectInput } from "../harness/index.ts";

/** Publishes objects over the published set, as the command-line tool does. */
export async function publishObjects(
  platformUrl: string,
  inputs: readonly ObjectInput[],
  revision: number,
): Promise<void> {
  const timer = new SystemTimerService();
  const client = new EtcdGatewayClient({
    endpoints: [platformUrl],
    timer,
    random: Math.random,
  });
  const set = createObjectSet(inputs.map((input) => objectSchema.parse(input)));
  const metadata = {
    revision,
    nonce: randomUUID(),
    publishedBy: "harness",
    publishedAtMs: timer.wallClockMs(),
  };
  const published = await (await readPublishedSet(client)).asyncAndThen(
    (current) =>
      new ResultAsync(
        new Publisher({ client, timer }).publish({
          set,
          current,
          metadata,
        }),
      ),
  );
  await client.close();
  if (published.isErr()) throw new Error(published.error.message);
}
