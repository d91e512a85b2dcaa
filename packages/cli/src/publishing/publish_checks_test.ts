import { beforeEach, describe, expect, it } from "@jest/globals";
import {
  CONFIG_HEAD_KEY,
  createObjectSet,
  VirtualTimerService,
} from "@coltsfootford/core";
import { FakeKeyValue } from "@coltsfootford/key-value/testing";
import { ok } from "neverthrow";
import type { AdminClient } from "../daemons/index.ts";
import { chooseRevision } from "./publish_checks.ts";
import { Publisher } from "./publisher.ts";

const DAEMON_REVISION = 1;

let client: FakeKeyValue;
/** A daemon that has one revision in force. */
const admin = {
  getStatus: () => Promise.resolve(ok({ configRevision: DAEMON_REVISION })),
} as unknown as AdminClient;

function choose(isAfterRestore = false) {
  return chooseRevision({
    client,
    admin,
    daemons: ["http://daemon"],
    currentRevision: 0,
    isAfterRestore,
  });
}

beforeEach(() => {
  client = new FakeKeyValue(new VirtualTimerService());
});

describe("chooseRevision", () => {
  // Guards against a publication of another operator between the read of the
  // head and the request to the daemons, reported as a restored platform.
  it("reports a conflict where the head has moved on", async () => {
    const timer = new VirtualTimerService();
    const published = await new Publisher({ client, timer }).publish({
      set: createObjectSet([]),
      current: undefined,
      metadata: {
        revision: DAEMON_REVISION,
        nonce: "other",
        publishedBy: "other",
        publishedAtMs: 0,
      },
    });
    expect(published.isOk()).toBe(true);
    const revision = await choose();
    expect(revision._unsafeUnwrapErr().kind).toBe("conflict");
  });

  it("reports a restored platform where the head is older", async () => {
    expect((await client.get(CONFIG_HEAD_KEY))._unsafeUnwrap()).toBeUndefined();
    const revision = await choose();
    expect(revision._unsafeUnwrapErr().kind).toBe("platform-restored");
    expect((await choose(true))._unsafeUnwrap()).toBe(DAEMON_REVISION + 1);
  });
});
