import { PoolView, RendezvousPolicy } from "@coltsfootford/core";
import { measureCpuUs, measureHeapBytes } from "./slope.ts";

const PLACEMENTS = 5_000;
const ZONES = 14;

/** Creates a view with the given number of targets. */
export function createPoolView(targets: number): PoolView {
  return new PoolView(
    Array.from({ length: targets }, (_, index) => ({
      name: `target-${index}`,
      availabilityZone: `zone-${index % ZONES}`,
      loadRequests: index % 7,
      onProbation: false,
    })),
  );
}

/** Measures the processor time of one placement, in microseconds. */
export function measurePlacementUs(targets: number): number {
  const view = createPoolView(targets);
  const policy = new RendezvousPolicy();
  let chat = 0;
  return measureCpuUs(PLACEMENTS, () => {
    policy.orderTargets({
      chatKey: `chat-${chat++}`,
      availabilityZone: "zone-3",
      reuseWeight: 0.7,
      crossZonePenalty: 0.2,
      maxTargets: 6,
    }, view);
  });
}

/** Measures the heap of one target in a view, in bytes. */
export function measureTargetBytes(targets: number): number {
  return measureHeapBytes(targets, () => createPoolView(targets));
}
