/**
 * Prints the cost of a configuration change under several layouts. The last
 * row is the layout that `chooseLayout` returns.
 */
import { chooseLayout } from "@coltsfootford/core";
import { measureApplyMs, measureChangeCost } from "./change_cost.ts";

const INPUT = { teamCount: 5_700, changesPerDay: 6_700, sampleCount: 50 };
const LEAF_COUNTS = [1, 32, 64, 128, 256, 1_024, 2_048, 4_096];

const chosen = chooseLayout(INPUT.teamCount, undefined);
const layouts = [...LEAF_COUNTS.map((leafCount) => ({ leafCount })), chosen];
console.table(layouts.map((layout) => {
  const cost = measureChangeCost(INPUT, layout);
  return {
    leaves: layout.leafCount,
    setBytes: cost.setBytes,
    parts: cost.partCount,
    headPartsBytes: cost.headPartsBytes,
    changeBytes: Math.round(cost.changeBytes),
    daemonBytesPerS: Math.round(cost.daemonBytesPerS),
  };
}));
const applyMs = measureApplyMs(INPUT, chosen);
console.log(`CPU time to take a change: ${applyMs.toFixed(1)} ms`);
