import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { DEFAULT_POISON_SETTINGS, PoisonLedger } from "./poison_ledger.ts";
import type { CrashReport } from "./poison_messages.ts";
import { findSuspectArbiter, SuspectGrants } from "./suspect_grants.ts";

const POISON = "f".repeat(32);
const DAEMONS = ["vm-1", "vm-2", "vm-3"];
const TARGETS = ["t1", "t2", "t3", "t4", "t5"];

function digestOf(index: number): string {
  return index.toString(16).padStart(32, "0");
}

function report(
  crashId: string,
  digests: string[],
  reporter = "vm-1",
  target = "t1",
): CrashReport {
  return { crashId, target, reporter, digests };
}

describe("PoisonLedger", () => {
  it("quarantines content after its second crash, but not concurrent requests", () => {
    const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
    const concurrent = [digestOf(1), digestOf(2)];
    expect(ledger.recordCrash(report("a", [POISON, ...concurrent]), 0)).toEqual(
      [],
    );
    expect(ledger.classify(POISON, 1)).toBe("suspect");
    const second = report("b", [POISON, digestOf(3)], "vm-2", "t2");
    expect(ledger.recordCrash(second, 9_000)).toEqual([POISON]);
    expect(ledger.classify(POISON, 9_001)).toBe("quarantined");
    for (const index of [1, 2, 3]) {
      expect(ledger.classify(digestOf(index), 9_001)).toBe("suspect");
      ledger.recordCompletion(digestOf(index));
      expect(ledger.classify(digestOf(index), 9_002)).toBe("clear");
    }
  });

  it("counts a crash once regardless of the number of reports", () => {
    const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
    ledger.recordCrash(report("a", [POISON], "vm-1"), 0);
    ledger.recordCrash(report("a", [POISON], "vm-1"), 50);
    ledger.recordCrash(report("b", [POISON], "vm-2"), 400);
    expect(ledger.crashes(POISON, 400)).toBe(1);
  });

  it("expires old evidence and keeps the quarantine until release", () => {
    const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
    ledger.recordCrash(report("a", [POISON]), 0);
    expect(ledger.classify(POISON, 3_600_001)).toBe("clear");
    ledger.quarantine(POISON, 2);
    expect(ledger.recordCompletion(POISON)).toBe(false);
    expect(ledger.classify(POISON, 9e9)).toBe("quarantined");
    expect(ledger.release(POISON)).toBe(true);
    expect(ledger.classify(POISON, 9e9)).toBe("clear");
  });

  it("grants a target to one suspect until release or expiry", () => {
    const grants = new SuspectGrants();
    expect(grants.tryGrant("t1", "a", 1_000, 0)).toBe(true);
    expect(grants.tryGrant("t1", "a", 1_000, 1)).toBe(true);
    expect(grants.tryGrant("t1", "b", 1_000, 999)).toBe(false);
    expect(grants.tryGrant("t1", "b", 1_000, 1_001)).toBe(true);
    grants.release("t1", "a");
    expect(grants.tryGrant("t1", "c", 1_000, 1_002)).toBe(false);
    grants.release("t1", "b");
    expect(grants.tryGrant("t1", "c", 1_000, 1_002)).toBe(true);
  });

  it("identifies the cause among 40 requests that the same crash interrupted", () => {
    for (let seed = 1; seed <= 50; seed++) {
      const outcome = replayCrashes(seed);
      expect(outcome.crashes).toBe(2);
      expect(outcome.quarantined).toEqual([POISON]);
    }
  });
});

/**
 * A crash interrupts the poison request and 40 others. All are retried through
 * random daemons. Each suspect runs on a target without other suspects, next to
 * new requests.
 */
function replayCrashes(
  seed: number,
): { crashes: number; quarantined: string[] } {
  const random = xoroshiro128plus(seed);
  const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
  const grants = new Map(DAEMONS.map((vm) => [vm, new SuspectGrants()]));
  const grantsOf = (target: string) =>
    grants.get(findSuspectArbiter(target, DAEMONS)!)!;
  const others = Array.from(
    { length: 40 },
    (_, index) => digestOf(index + 1),
  );
  const quarantined = [
    ...ledger.recordCrash(report("c0", [POISON, ...others]), 0),
  ];
  let crashes = 1;
  const pending = [POISON, ...others];
  for (let nowMs = 5_000; pending.length > 0; nowMs += 5_000) {
    // One round: all requests that get a grant start, then all of them end.
    const running: { digest: string; target: string; vm: string }[] = [];
    for (const digest of [...pending]) {
      const vm = DAEMONS[uniformInt(random, 0, DAEMONS.length - 1)]!;
      if (ledger.classify(digest, nowMs) === "quarantined") {
        pending.splice(pending.indexOf(digest), 1);
        continue;
      }
      const target = TARGETS.find((name) =>
        grantsOf(name).tryGrant(name, digest, 5_000, nowMs)
      );
      if (!target) continue;
      running.push({ digest, target, vm });
    }
    const newDigest = digestOf(1_000 + nowMs);
    for (const { digest, target, vm } of running) {
      grantsOf(target).release(target, digest);
      if (digest === POISON) {
        crashes += 1;
        const crash = report(`c${crashes}`, [digest, newDigest], vm, target);
        quarantined.push(...ledger.recordCrash(crash, nowMs));
        continue;
      }
      ledger.recordCompletion(digest);
      pending.splice(pending.indexOf(digest), 1);
    }
  }
  return { crashes, quarantined };
}
