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
  it("refuses content after its second crash and not those beside it", () => {
    const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
    const beside = [digestOf(1), digestOf(2)];
    expect(ledger.noteCrash(report("a", [POISON, ...beside]), 0)).toEqual([]);
    expect(ledger.judge(POISON, 1)).toBe("suspect");
    const second = report("b", [POISON, digestOf(3)], "vm-2", "t2");
    expect(ledger.noteCrash(second, 9_000)).toEqual([POISON]);
    expect(ledger.judge(POISON, 9_001)).toBe("quarantined");
    for (const index of [1, 2, 3]) {
      expect(ledger.judge(digestOf(index), 9_001)).toBe("suspect");
      ledger.noteCompleted(digestOf(index));
      expect(ledger.judge(digestOf(index), 9_002)).toBe("clear");
    }
  });

  it("counts a crash once however many daemons report it", () => {
    const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
    ledger.noteCrash(report("a", [POISON], "vm-1"), 0);
    ledger.noteCrash(report("a", [POISON], "vm-1"), 50);
    ledger.noteCrash(report("b", [POISON], "vm-2"), 400);
    expect(ledger.crashes(POISON, 400)).toBe(1);
  });

  it("drops evidence with its age and keeps quarantine until release", () => {
    const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
    ledger.noteCrash(report("a", [POISON]), 0);
    expect(ledger.judge(POISON, 3_600_001)).toBe("clear");
    ledger.quarantine(POISON, 2);
    expect(ledger.noteCompleted(POISON)).toBe(false);
    expect(ledger.judge(POISON, 9e9)).toBe("quarantined");
    expect(ledger.release(POISON)).toBe(true);
    expect(ledger.judge(POISON, 9e9)).toBe("clear");
  });

  it("grants a target to one suspect, until release or the grant's end", () => {
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

  it("singles the cause out of 40 requests that died beside it", () => {
    for (let seed = 1; seed <= 50; seed++) {
      const verdict = replaySurge(seed);
      expect(verdict.crashes).toBe(2);
      expect(verdict.refused).toEqual([POISON]);
    }
  });
});

/**
 * 40 requests and the poison die with a target; all come again through random
 * daemons, each suspect runs apart, and newcomers run beside it.
 */
function replaySurge(seed: number): { crashes: number; refused: string[] } {
  const random = xoroshiro128plus(seed);
  const ledger = new PoisonLedger(DEFAULT_POISON_SETTINGS);
  const grants = new Map(DAEMONS.map((vm) => [vm, new SuspectGrants()]));
  const grantsOf = (target: string) =>
    grants.get(findSuspectArbiter(target, DAEMONS)!)!;
  const first = Array.from({ length: 40 }, (_, index) => digestOf(index + 1));
  const refused = [...ledger.noteCrash(report("c0", [POISON, ...first]), 0)];
  let crashes = 1;
  const waiting = [POISON, ...first];
  for (let nowMs = 5_000; waiting.length > 0; nowMs += 5_000) {
    // One round: every daemon starts what it may, then all of it ends.
    const running: { digest: string; target: string; vm: string }[] = [];
    for (const digest of [...waiting]) {
      const vm = DAEMONS[uniformInt(random, 0, DAEMONS.length - 1)]!;
      if (ledger.judge(digest, nowMs) === "quarantined") {
        waiting.splice(waiting.indexOf(digest), 1);
        continue;
      }
      const target = TARGETS.find((name) =>
        grantsOf(name).tryGrant(name, digest, 5_000, nowMs)
      );
      if (!target) continue;
      running.push({ digest, target, vm });
    }
    const newcomer = digestOf(1_000 + nowMs);
    for (const { digest, target, vm } of running) {
      grantsOf(target).release(target, digest);
      if (digest === POISON) {
        crashes += 1;
        const crash = report(`c${crashes}`, [digest, newcomer], vm, target);
        refused.push(...ledger.noteCrash(crash, nowMs));
        continue;
      }
      ledger.noteCompleted(digest);
      waiting.splice(waiting.indexOf(digest), 1);
    }
  }
  return { crashes, refused };
}
