import { createHash } from "node:crypto";
import { type FleetObject, objectSchema } from "@coltsfootford/core";
import { request } from "undici";
import type { ObjectInput } from "./fleet_plan.ts";

const HEAD_KEY = "coltsfoot/config/head";
const PART_PREFIX = "coltsfoot/config/part/";

/** Writes objects as one part and a head straight into the platform. */
export async function publishObjects(
  platformUrl: string,
  inputs: readonly ObjectInput[],
  revision: number,
): Promise<void> {
  const objects: FleetObject[] = inputs.map((input) =>
    objectSchema.parse(input)
  );
  const part = JSON.stringify(objects);
  const digest = createHash("sha256").update(part).digest("hex");
  await put(platformUrl, PART_PREFIX + digest, part);
  const head = { revision, parts: { all: digest } };
  await put(platformUrl, HEAD_KEY, JSON.stringify(head));
}

async function put(url: string, key: string, value: string): Promise<void> {
  const response = await request(`${url}/v3/kv/put`, {
    method: "POST",
    body: JSON.stringify({
      key: Buffer.from(key).toString("base64"),
      value: Buffer.from(value).toString("base64"),
    }),
  });
  await response.body.text();
}
