import type { Kind, Load } from "./replay.ts";

const SLOTS = 6;

/** Of the figures that led to the line: plain calls of 43 ms, six slots. */
export const URGENT: Kind = {
  name: "urgent",
  rank: 0,
  team: "a",
  perSecond: 60,
  workMs: 43,
  objectiveMs: 500,
  deadlineMs: 2_000,
};
export const PATIENT: Kind = {
  ...URGENT,
  name: "patient",
  rank: 2,
  team: "b",
  perSecond: 200,
  objectiveMs: 3_000,
  deadlineMs: 12_000,
};

/** A target of six slots does 140 requests of 43 ms a second. */
export const LOADS = {
  surge: {
    slots: SLOTS,
    kinds: [URGENT, { ...PATIENT, fromMs: 3_000, toMs: 8_000 }],
  },
  hotTeam: {
    slots: SLOTS,
    kinds: [
      { ...URGENT, name: "hot", perSecond: 250 },
      { ...URGENT, name: "other", team: "b", perSecond: 30 },
    ],
  },
  targetsLost: {
    slots: SLOTS,
    targets: 3,
    daemons: 6,
    lostAtMs: 4_000,
    kinds: [{ ...URGENT, perSecond: 150 }, { ...PATIENT, perSecond: 180 }],
  },
  allReturning: {
    slots: SLOTS,
    kinds: [
      URGENT,
      { ...PATIENT, perSecond: 40_000, fromMs: 3_000, toMs: 3_010 },
    ],
  },
  repeating: {
    slots: SLOTS,
    kinds: [
      { ...URGENT, name: "waiting", perSecond: 100 },
      {
        ...URGENT,
        name: "repeating",
        team: "b",
        perSecond: 100,
        repeatAfterMs: 10,
      },
    ],
  },
  longPrompts: {
    slots: SLOTS,
    kinds: [
      { ...URGENT, name: "short", perSecond: 90 },
      {
        ...PATIENT,
        name: "long",
        rank: 0,
        team: "a",
        perSecond: 6,
        workMs: 1_000,
      },
    ],
  },
  starvation: {
    slots: SLOTS,
    kinds: [
      { ...URGENT, perSecond: 200 },
      { ...URGENT, name: "low", rank: 9, team: "b", perSecond: 40 },
      {
        ...URGENT,
        name: "large",
        team: "c",
        perSecond: 3,
        workMs: 400,
        deadlineMs: 4_000,
      },
    ],
  },
} satisfies Record<string, Load>;

/** Two kinds, from daemons that see a small part of the load each. */
export function staleViews(daemons: number, perSecond: number): Load {
  return {
    slots: SLOTS,
    targets: 3,
    daemons,
    kinds: [
      { ...URGENT, perSecond: perSecond / 2 },
      { ...URGENT, name: "second", rank: 1, perSecond: perSecond / 2 },
    ],
  };
}
