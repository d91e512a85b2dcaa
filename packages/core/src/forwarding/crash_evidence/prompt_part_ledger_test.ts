import { beforeEach, describe, expect, it } from "@jest/globals";
import { PromptPartLedger, selectSuspects } from "./prompt_part_ledger.ts";

/** Time between crashes that count separately. */
const CRASH_PERIOD_MS = 500;

let ledger: PromptPartLedger;
let nowMs: number;
let crashes: number;

beforeEach(() => {
  ledger = new PromptPartLedger();
  nowMs = 0;
  crashes = 0;
});

/** A target crashes while it begins to respond to a prompt with these parts. */
function crash(...parts: string[]) {
  nowMs += CRASH_PERIOD_MS;
  return report(`target-${crashes++}`, parts, true);
}

function report(target: string, parts: string[], hasResponse: boolean) {
  return ledger.recordCrash(
    { target, suspects: [{ parts, hasResponse }] },
    nowMs,
  );
}

const quarantinedParts = () =>
  ledger.quarantined(nowMs).map(({ parts }) => parts);

describe("PromptPartLedger", () => {
  it("quarantines the part that three crashes have in common", () => {
    crash("subject-1", "deadly");
    crash("subject-2", "deadly");
    expect(quarantinedParts()).toEqual([]);
    expect(crash("subject-3", "deadly")?.parts).toEqual(["deadly"]);
    expect(quarantinedParts()).toEqual([["deadly"]]);
  });

  // Guards against the quarantine of a part of many sound requests, some of
  // which are pending whenever a target crashes.
  it("does not quarantine a part while responses to it begin", () => {
    for (let index = 0; index < 20; index++) {
      crash("common", `subject-${index}`);
      ledger.recordSound(["common"], nowMs + 100);
    }
    expect(quarantinedParts()).toEqual([]);
  });

  // Guards against retries that crash one target after the other within the time
  // in which crashes count once.
  it("counts the crashes by suspects of earlier ones apart", () => {
    const crashIsolated = (target: string) => {
      nowMs += 60;
      return ledger.recordCrash({
        target,
        suspects: [{ parts: ["deadly"], hasResponse: true, isIsolated: true }],
      }, nowMs);
    };
    report("target-0", ["deadly"], false);
    expect(ledger.isSuspect(["deadly", "other"], nowMs)).toBe(true);
    expect(crashIsolated("target-1")).toBeUndefined();
    expect(crashIsolated("target-2")).toBeUndefined();
    expect(crashIsolated("target-3")?.parts).toEqual(["deadly"]);
    expect(ledger.findQuarantine(["deadly", "other"], nowMs)).toBeDefined();
  });

  it("suspects nothing that a response proved sound", () => {
    report("target-0", ["common"], false);
    ledger.recordSound(["common"], nowMs);
    expect(ledger.isSuspect(["common"], nowMs)).toBe(false);
  });

  // Guards against the quarantine of a sound part that all requests with the
  // deadly one share.
  it("rejects only prompts with all parts that it can't tell apart", () => {
    for (let index = 0; index < 3; index++) crash("subject", "deadly");
    expect(quarantinedParts()).toEqual([["subject", "deadly"]]);
    const [proof] = ledger.recordSound(["subject"], nowMs);
    expect(proof?.part).toBe("subject");
    expect(proof?.crashes).toHaveLength(3);
    expect(quarantinedParts()).toEqual([["deadly"]]);
  });

  it("finds the part also where another one is always beside it", () => {
    for (let index = 0; index < 3; index++) crash("subject", "deadly");
    crash("other", "deadly");
    crash("another", "deadly");
    crash("third", "deadly");
    expect(quarantinedParts()).toEqual([["deadly"]]);
  });

  it("finds two parts that crash targets by turns", () => {
    for (let index = 0; index < 3; index++) {
      crash(`subject-${index}`, "deadly-1");
      crash(`subject-${index}`, "deadly-2");
    }
    expect(quarantinedParts()).toEqual([["deadly-1"], ["deadly-2"]]);
  });

  // Guards against a quarantine after the loss of a rack or a zone.
  it("counts targets that crash together once", () => {
    nowMs = 1_000;
    for (let index = 0; index < 30; index++) {
      report(`target-${index}`, ["common"], index % 2 === 0);
    }
    expect(quarantinedParts()).toEqual([]);
  });

  it("suspects pending requests less than one whose response had begun", () => {
    for (let index = 0; index < 5; index++) {
      nowMs += CRASH_PERIOD_MS;
      report(`target-${index}`, ["pending"], false);
    }
    expect(quarantinedParts()).toEqual([]);
    nowMs += CRASH_PERIOD_MS;
    report("target-5", ["pending"], false);
    expect(quarantinedParts()).toEqual([["pending"]]);
  });

  it("drops pending suspects beside one whose response had begun", () => {
    for (let index = 0; index < 9; index++) {
      nowMs += CRASH_PERIOD_MS;
      report(`target-${index}`, [`begun-${index}`], true);
      report(`target-${index}`, ["pending"], false);
    }
    expect(quarantinedParts()).toEqual([]);
  });

  it("does not suspect others of crashes that a quarantine explains", () => {
    for (let index = 0; index < 12; index++) {
      crash("deadly");
      report(`target-${crashes - 1}`, ["pending"], false);
    }
    expect(quarantinedParts()).toEqual([["deadly"]]);
  });

  // Guards against a part that is never found, since its targets crash in the
  // midst of their responses.
  it("counts crashes in the midst of responses, at half the weight", () => {
    const crashAdvanced = (...parts: string[]) => {
      nowMs += CRASH_PERIOD_MS;
      return ledger.recordCrash({
        target: `target-${crashes++}`,
        suspects: [{ parts, hasResponse: true, isAdvanced: true }],
      }, nowMs);
    };
    for (let index = 0; index < 5; index++) {
      crashAdvanced(`subject-${index}`, "deadly");
    }
    expect(quarantinedParts()).toEqual([]);
    expect(crashAdvanced("subject-5", "deadly")?.parts).toEqual(["deadly"]);
  });

  // Guards against requests that have just begun beside one that crashes its
  // target later, and against the loss of an earlier response's evidence.
  it("keeps an advanced suspect beside one that has just begun", () => {
    for (let index = 0; index < 6; index++) {
      nowMs += CRASH_PERIOD_MS;
      ledger.recordCrash({
        target: `target-${index}`,
        suspects: [
          { parts: ["deadly"], hasResponse: true, isAdvanced: true },
          { parts: [`sound-${index}`], hasResponse: true },
          { parts: ["pending"], hasResponse: false },
        ],
      }, nowMs);
    }
    expect(quarantinedParts()).toEqual([["deadly"]]);
  });

  // Guards against the quarantine of a part of all prompts of a route, some of
  // which are interrupted in their midst by each crash of any cause.
  it("acquits a popular part by complete responses", () => {
    for (let index = 0; index < 30; index++) {
      nowMs += CRASH_PERIOD_MS;
      ledger.recordCrash({
        target: `target-${index}`,
        suspects: [{ parts: ["common"], hasResponse: true, isAdvanced: true }],
      }, nowMs);
      ledger.recordSound(["common"], nowMs + 100);
    }
    expect(quarantinedParts()).toEqual([]);
  });

  // Guards against daemons that decide differently by the order in which they
  // hear of a crash and of a response that began after it.
  it("ignores a report that arrives after the proof", () => {
    nowMs = 1_000;
    ledger.recordProof({ part: "common", crashes: ["a", "b", "c"] }, nowMs);
    for (const target of ["a", "b", "c"]) {
      nowMs += CRASH_PERIOD_MS;
      report(target, ["common"], true);
    }
    expect(quarantinedParts()).toEqual([]);
  });

  it("contradicts a quarantine of a part that it knows to be sound", () => {
    const quarantine = { parts: ["common"], crashes: ["a", "b", "c"] };
    ledger.recordProof({ part: "common", crashes: ["a", "b", "c"] }, nowMs);
    expect(ledger.recordQuarantine(quarantine, nowMs)).toEqual([
      { part: "common", crashes: ["a", "b", "c"] },
    ]);
    expect(quarantinedParts()).toEqual([]);
  });

  it("ends a quarantine when a response to the part begins", () => {
    for (let index = 0; index < 3; index++) crash("part");
    expect(ledger.recordSound(["part"], nowMs)).toHaveLength(1);
    expect(quarantinedParts()).toEqual([]);
    const quarantine = { parts: ["part"], crashes: ["target-0", "target-1"] };
    ledger.recordQuarantine(quarantine, nowMs);
    expect(quarantinedParts()).toEqual([]);
  });

  // Guards against crashes that count once, since the store is away and a target
  // that starts again is not known as another incarnation.
  it("counts the crashes of one target that lie apart", () => {
    for (let index = 0; index < 3; index++) {
      nowMs += 3_000;
      report("target", ["deadly"], true);
      nowMs += 500;
      report("target", ["deadly"], true);
    }
    expect(quarantinedParts()).toEqual([["deadly"]]);
  });

  it("ends a quarantine after ten minutes", () => {
    for (let index = 0; index < 3; index++) crash("part");
    nowMs += 600_000;
    expect(quarantinedParts()).toEqual([]);
  });

  it("forgets the oldest crashes beyond its limits", () => {
    for (let index = 0; index < 10_000; index++) {
      crash(`part-${index}`);
      ledger.recordSound([`sound-${index}`], nowMs);
    }
    expect(quarantinedParts()).toEqual([]);
  });
});

describe("selectSuspects", () => {
  it("bounds a report and prefers requests whose response had begun", () => {
    const pending = Array.from({ length: 200 }, (_, index) => ({
      parts: [`part-${index % 100}`],
      hasResponse: false,
    }));
    const begun = { parts: ["deadly"], hasResponse: true };
    const selected = selectSuspects([...pending, begun, begun]);
    expect(selected).toHaveLength(32);
    expect(selected[0]).toEqual(begun);
    expect(new Set(selected.map(({ parts }) => parts[0])).size).toBe(32);
  });
});
