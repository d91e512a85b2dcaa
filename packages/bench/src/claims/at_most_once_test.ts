import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type BookingAnswer,
  BookingFleet,
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

function seen(result: BookingAnswer): string {
  return `${result.status} ${result.outcome}`;
}

describe("a booking with an idempotency key", () => {
  it("runs once when it is sent again, through either daemon", async () => {
    const key = createKey();
    const first = await bookings.book("entry-1", key);
    expect(seen(first)).toBe("200 completed");
    for (const vm of ENTRIES) {
      // The result is recorded shortly after the caller has its answer.
      let again = await bookings.book(vm, key);
      while (again.status === 409) again = await bookings.book(vm, key);
      expect(seen(again)).toBe("200 completed");
      expect(again.text).toBe(first.text);
    }
    expect(await bookings.countRuns(key)).toBe(1);
    const other = await bookings.book("entry-2", key, `{"other":true}`);
    expect(seen(other)).toBe("422 not-run");
  });

  it("is not run by a resend while the first runs", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ lateAnswersMs: SLOW_MS });
    const first = bookings.book("entry-1", key);
    await bookings.waitUntilRunning(key);
    for (const vm of ENTRIES) {
      expect(seen(await bookings.book(vm, key))).toBe("409 unknown");
    }
    expect(seen(await first)).toBe("200 completed");
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("runs at most once when its daemon is killed while it runs", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ hang: true });
    const first = bookings.book("entry-1", key);
    await bookings.waitUntilRunning(key);
    await bookings.fleet.daemon("entry-1").process.kill();
    await first;
    await bookings.setServiceFaults({ hang: false });
    expect(seen(await bookings.book("entry-2", key))).toBe("409 unknown");
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("is never run when its daemon is killed before the dispatch", async () => {
    const key = createKey();
    await bookings.setPlatformFaults({ slowMs: SLOW_MS });
    const { answer } = await bookings.bookUntilClaimed("entry-1", key);
    await bookings.fleet.daemon("entry-1").process.kill();
    await answer;
    await bookings.setPlatformFaults({ slowMs: 0 });
    expect(seen(await bookings.book("entry-2", key))).toBe("409 unknown");
    expect(await bookings.countRuns(key)).toBe(0);
  });

  it("runs once when its daemon is paused before the dispatch", async () => {
    const key = createKey();
    const paused = bookings.fleet.daemon("entry-1").process;
    await bookings.setPlatformFaults({ slowMs: SLOW_MS });
    const { answer } = await bookings.bookUntilClaimed("entry-1", key);
    paused.pause();
    await bookings.setPlatformFaults({ slowMs: 0 });
    expect(seen(await bookings.book("entry-2", key))).toBe("409 unknown");
    expect(await bookings.countRuns(key)).toBe(0);
    paused.resume();
    expect(seen(await answer)).toBe("200 completed");
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("is not run when its daemon was paused past the deadline", async () => {
    const key = createKey();
    const paused = bookings.fleet.daemon("entry-1").process;
    await bookings.setPlatformFaults({ slowMs: SLOW_MS });
    const { answer } = await bookings.bookUntilClaimed("entry-1", key, SLOW_MS);
    paused.pause();
    await bookings.setPlatformFaults({ slowMs: 0 });
    await sleep(2 * SLOW_MS);
    paused.resume();
    const late = await answer;
    expect(late.outcome).toBe("not-run");
    expect(await bookings.countRuns(key)).toBe(0);
    let again = await bookings.book("entry-2", key);
    while (again.status === 409) again = await bookings.book("entry-2", key);
    expect(seen(again)).toBe("200 completed");
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("runs once when the answer to its claim's write is lost", async () => {
    const key = createKey();
    await bookings.setPlatformFaults({
      loseWriteAnswers: 1,
      loseKeyPrefix: "coltsfoot/claims/",
    });
    expect(seen(await bookings.book("entry-1", key))).toBe("200 completed");
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("is refused as not run while the platform is down, and runs later", async () => {
    const key = createKey();
    await bookings.setPlatformFaults({ down: true });
    expect(seen(await bookings.book("entry-1", key))).toBe("503 not-run");
    expect(await bookings.countRuns(key)).toBe(0);
    await bookings.setPlatformFaults({ down: false });
    let again = await bookings.book("entry-2", key);
    while (again.status === 503) again = await bookings.book("entry-2", key);
    expect(seen(again)).toBe("200 completed");
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("runs once when two callers race through two daemons", async () => {
    const keys = Array.from({ length: 30 }, createKey);
    const results = await Promise.all(
      keys.flatMap((key) => ENTRIES.map((vm) => bookings.book(vm, key))),
    );
    for (const result of results) {
      expect(["200 completed", "409 unknown"]).toContain(seen(result));
    }
    for (const key of keys) expect(await bookings.countRuns(key)).toBe(1);
  });

  it("runs once where targets close idle connections on a write", async () => {
    await bookings.setServiceFaults({ closeIdleOnWrite: true });
    for (let index = 0; index < 10; index++) {
      const key = createKey();
      expect(seen(await bookings.book("entry-1", key))).toBe("200 completed");
      expect(await bookings.countRuns(key)).toBe(1);
    }
  });

  it("stays unknown when the service runs it and the answer is lost", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ loseAnswers: true });
    expect(seen(await bookings.book("entry-1", key))).toBe("502 unknown");
    await bookings.setServiceFaults({ loseAnswers: false });
    expect(seen(await bookings.book("entry-2", key))).toBe("409 unknown");
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("is recorded before its daemon ends gracefully", async () => {
    const key = createKey();
    const first = await bookings.book("entry-1", key);
    expect(seen(first)).toBe("200 completed");
    const { code } = await bookings.fleet.daemon("entry-1").process.terminate();
    expect(code).toBe(0);
    const again = await bookings.book("entry-2", key);
    expect(seen(again)).toBe("200 completed");
    expect(again.text).toBe(first.text);
    expect(await bookings.countRuns(key)).toBe(1);
  });

  it("is freed for a resend when no target took it", async () => {
    const key = createKey();
    await bookings.setServiceFaults({ refuseBusy: true });
    expect(seen(await bookings.book("entry-1", key))).toBe("503 not-run");
    await bookings.setServiceFaults({ refuseBusy: false });
    expect(seen(await bookings.book("entry-2", key))).toBe("200 completed");
    expect(await bookings.countRuns(key)).toBe(1);
  });
});
