import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { setTimeout as sleep } from "node:timers/promises";
import {
  BookingFleet,
  type BookingResponse,
  createKey,
} from "./booking_fleet.ts";

const ENTRIES = ["entry-1", "entry-2"] as const;
const SLOW_MS = 1_000;

let bookings: BookingFleet;

beforeEach(async () => {
  bookings = await BookingFleet.start();
});

afterEach(async () => {
  await bookings.stop();
});

function formatResult(result: BookingResponse): string {
  return `${result.status} ${result.outcome}`;
}

describe("a booking with an idempotency key", () => {
  it("is executed once when it is resent through either daemon", async () => {
    const key = createKey();
    const first = await bookings.book("entry-1", key);
    expect(formatResult(first)).toBe("200 completed");
    for (const vm of ENTRIES) {
      // The result is recorded shortly after the client receives the response.
      let retry = await bookings.book(vm, key);
      while (retry.status === 409) retry = await bookings.book(vm, key);
      expect(formatResult(retry)).toBe("200 completed");
      expect(retry.text).toBe(first.text);
    }
    expect(await bookings.countExecutions(key)).toBe(1);
    const other = await bookings.book("entry-2", key, `{"other":true}`);
    expect(formatResult(other)).toBe("422 not-run");
  });

  it("is not executed by a resend during the first execution", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ lateAnswersMs: SLOW_MS });
    const first = bookings.book("entry-1", key);
    await bookings.waitUntilExecuting(key);
    for (const vm of ENTRIES) {
      expect(formatResult(await bookings.book(vm, key))).toBe("409 unknown");
    }
    expect(formatResult(await first)).toBe("200 completed");
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is executed at most once when its daemon is killed during the execution", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ hang: true });
    const first = bookings.book("entry-1", key);
    await bookings.waitUntilExecuting(key);
    await bookings.fleet.daemon("entry-1").process.kill();
    await first;
    await bookings.setServiceFaults({ hang: false });
    expect(formatResult(await bookings.book("entry-2", key))).toBe(
      "409 unknown",
    );
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is never executed when its daemon is killed before the dispatch", async () => {
    const key = createKey();
    await bookings.setPlatformFaults({ slowMs: SLOW_MS });
    const { response } = await bookings.bookUntilClaimed("entry-1", key);
    await bookings.fleet.daemon("entry-1").process.kill();
    await response;
    await bookings.setPlatformFaults({ slowMs: 0 });
    expect(formatResult(await bookings.book("entry-2", key))).toBe(
      "409 unknown",
    );
    expect(await bookings.countExecutions(key)).toBe(0);
  });

  it("is executed once when its daemon is paused before the dispatch", async () => {
    const key = createKey();
    const paused = bookings.fleet.daemon("entry-1").process;
    await bookings.setPlatformFaults({ slowMs: SLOW_MS });
    const { response } = await bookings.bookUntilClaimed("entry-1", key);
    paused.pause();
    await bookings.setPlatformFaults({ slowMs: 0 });
    expect(formatResult(await bookings.book("entry-2", key))).toBe(
      "409 unknown",
    );
    expect(await bookings.countExecutions(key)).toBe(0);
    paused.resume();
    expect(formatResult(await response)).toBe("200 completed");
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is not executed when its daemon was paused past the deadline", async () => {
    const key = createKey();
    const paused = bookings.fleet.daemon("entry-1").process;
    await bookings.setPlatformFaults({ slowMs: SLOW_MS });
    const { response } = await bookings.bookUntilClaimed(
      "entry-1",
      key,
      SLOW_MS,
    );
    paused.pause();
    await bookings.setPlatformFaults({ slowMs: 0 });
    await sleep(2 * SLOW_MS);
    paused.resume();
    const late = await response;
    expect(late.outcome).toBe("not-run");
    expect(await bookings.countExecutions(key)).toBe(0);
    let retry = await bookings.book("entry-2", key);
    while (retry.status === 409) retry = await bookings.book("entry-2", key);
    expect(formatResult(retry)).toBe("200 completed");
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is executed once when the response to the write of its claim is lost", async () => {
    const key = createKey();
    await bookings.setPlatformFaults({
      loseWriteAnswers: 1,
      loseKeyPrefix: "coltsfoot/claims/",
    });
    expect(formatResult(await bookings.book("entry-1", key))).toBe(
      "200 completed",
    );
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is rejected as not-run while the platform is down, and executed later", async () => {
    const key = createKey();
    await bookings.setPlatformFaults({ down: true });
    expect(formatResult(await bookings.book("entry-1", key))).toBe(
      "503 not-run",
    );
    expect(await bookings.countExecutions(key)).toBe(0);
    await bookings.setPlatformFaults({ down: false });
    let retry = await bookings.book("entry-2", key);
    while (retry.status === 503) retry = await bookings.book("entry-2", key);
    expect(formatResult(retry)).toBe("200 completed");
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is executed once when two clients race through two daemons", async () => {
    const keys = Array.from({ length: 30 }, createKey);
    const results = await Promise.all(
      keys.flatMap((key) => ENTRIES.map((vm) => bookings.book(vm, key))),
    );
    for (const result of results) {
      expect(["200 completed", "409 unknown"]).toContain(formatResult(result));
    }
    for (const key of keys) expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is executed once when targets close idle connections on a write", async () => {
    await bookings.setServiceFaults({ closeIdleOnWrite: true });
    for (let index = 0; index < 10; index++) {
      const key = createKey();
      expect(formatResult(await bookings.book("entry-1", key))).toBe(
        "200 completed",
      );
      expect(await bookings.countExecutions(key)).toBe(1);
    }
  });

  it("stays unknown when the service executes it and the response is lost", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ loseAnswers: true });
    expect(formatResult(await bookings.book("entry-1", key))).toBe(
      "502 unknown",
    );
    await bookings.setServiceFaults({ loseAnswers: false });
    expect(formatResult(await bookings.book("entry-2", key))).toBe(
      "409 unknown",
    );
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("is recorded before its daemon shuts down", async () => {
    const key = createKey();
    const first = await bookings.book("entry-1", key);
    expect(formatResult(first)).toBe("200 completed");
    const { code } = await bookings.fleet.daemon("entry-1").process.terminate();
    expect(code).toBe(0);
    const retry = await bookings.book("entry-2", key);
    expect(formatResult(retry)).toBe("200 completed");
    expect(retry.text).toBe(first.text);
    expect(await bookings.countExecutions(key)).toBe(1);
  });

  it("can be resent when no target accepted it", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ refuseBusy: true });
    expect(formatResult(await bookings.book("entry-1", key))).toBe(
      "503 not-run",
    );
    await bookings.setServiceFaults({ refuseBusy: false });
    expect(formatResult(await bookings.book("entry-2", key))).toBe(
      "200 completed",
    );
    expect(await bookings.countExecutions(key)).toBe(1);
  });
});
