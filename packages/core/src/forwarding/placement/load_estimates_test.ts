import { describe, expect, it } from "@jest/globals";
import { LoadEstimates } from "./load_estimates.ts";
import { TargetRecord } from "../targets/target_record.ts";

function reported(requests: number, atMs: number): TargetRecord {
  const record = new TargetRecord();
  record.recordReportedLoad(
    { runningRequests: requests, waitingRequests: 0, slots: 12 },
    atMs,
  );
  return record;
}

describe("LoadEstimates", () => {
  // Guards against a target that counts as idle because nothing was reported.
  it("expects the mean of the reported loads where a report is missing", () => {
    const unknown = new TargetRecord();
    const loads = new LoadEstimates([reported(4, 0), unknown], 0);
    expect(loads.of(unknown)).toBe(4);
    expect(loads.mean).toBe(4);
  });

  it("lets an old report approach the mean of the new ones", () => {
    const old = reported(12, 0);
    const records = [old, reported(2, 20_000), reported(2, 20_000)];
    const loads = new LoadEstimates(records, 20_000);
    expect(loads.of(old)).toBeCloseTo(2, 0);
  });

  // Guards against a bound that rises with the announcements of overload.
  it("keeps announced loads out of the mean", () => {
    const announced = new TargetRecord();
    announced.recordAnnouncedLoad(20, 0);
    const loads = new LoadEstimates([reported(4, 0), announced], 0);
    expect(loads.of(announced)).toBe(20);
    expect(loads.mean).toBe(4);
  });
});
