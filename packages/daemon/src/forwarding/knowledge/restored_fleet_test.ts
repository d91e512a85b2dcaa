import { afterEach, describe, expect, it } from "@jest/globals";
import {
  type KnowingDaemon,
  KnowledgeFleet,
} from "./testing/knowledge_fleet.ts";

/** The bounds of the platform: a change at daemons in touch. */
const APPLY_MS = 2_000;
const CONTACT_MS = 3_000;
const TARGETS = 5;
const LEAVING = "target-0";
const LATER_LEAVING = "target-1";
const ADDED = "target-added";
const TEST_TIMEOUT_MS = 120_000;

let fleet: KnowledgeFleet;

afterEach(() => fleet.close());

/** What happens beside the return of the store. */
interface Trouble {
  readonly cutsZone?: boolean;
  readonly freezes?: boolean;
  readonly kills?: boolean;
  /** Whether revisions pass the old ones before a daemon looks. */
  readonly passesRevisions?: boolean;
  /** Whether the store stays away for longer than its return takes. */
  readonly isAwayForLong?: boolean;
}

async function startFleet(daemons: number): Promise<void> {
  fleet = new KnowledgeFleet(daemons);
  fleet.publish(1);
  for (let index = 0; index < TARGETS; index++) {
    fleet.register(`target-${index}`);
  }
  for (let index = 0; index < daemons; index++) await fleet.startDaemon(index);
  await fleet.advance(5_000);
}

/** Checks at each step that no daemon goes back, and that all are counted. */
function watchDaemons(): { readonly check: () => void } {
  const versions = new Map<KnowingDaemon, number>();
  return {
    check: () => {
      for (const daemon of fleet.daemons) {
        if (daemon.isFrozen) continue;
        const version = daemon.version ?? 0;
        expect(version).toBeGreaterThanOrEqual(versions.get(daemon) ?? 0);
        versions.set(daemon, version);
      }
    },
  };
}

const inTouch = () =>
  fleet.daemons.filter((daemon) => !daemon.isFrozen && !fleet.isCut(daemon));

/** The store loses what came after a copy, while the trouble happens. */
async function restoreStore(trouble: Trouble): Promise<void> {
  const { check } = watchDaemons();
  fleet.publish(2);
  await fleet.advance(2_000, check);
  const copy = fleet.store.backup();
  fleet.publish(3);
  fleet.register(LEAVING, { isLeaving: true, sequence: 2 });
  fleet.register(ADDED);
  await fleet.advance(2_000, check);
  for (const { version } of fleet.daemons) expect(version).toBe(3);
  const [first, second, third] = fleet.daemons;
  if (trouble.cutsZone) fleet.cutZone(first!.zone);
  if (trouble.freezes) fleet.freeze(second!, true);
  if (trouble.kills) fleet.kill(third!.index);
  fleet.setStoreDown(true);
  await fleet.advance(trouble.isAwayForLong ? 6_000 : 2_000, check);
  fleet.store.restore(copy);
  if (trouble.passesRevisions) {
    for (let index = 0; index < 50; index++) fleet.write("other", index);
  }
  fleet.setStoreDown(false);
  await fleet.advance(1_000, check);
  // Operators and targets write again what they wrote.
  fleet.publish(3);
  fleet.register(LEAVING, { isLeaving: true, sequence: 2 });
  fleet.register(ADDED, { sequence: 2 });
  if (trouble.kills) await fleet.startDaemon(third!.index);
  if (trouble.freezes) fleet.freeze(second!, false);
  fleet.cutZone(undefined);
  await fleet.advance(CONTACT_MS, () => {
    check();
    for (const daemon of fleet.daemons) {
      expect(daemon.targetIds).not.toContain(LEAVING);
    }
  });
}

/** Changes after the return are in force at all daemons in time. */
async function expectInForce(): Promise<void> {
  fleet.publish(4);
  fleet.register(LATER_LEAVING, { isLeaving: true, sequence: 2 });
  await fleet.advance(APPLY_MS);
  for (const daemon of inTouch()) {
    expect(daemon.version).toBe(4);
    expect(daemon.targetIds).toContain(ADDED);
    expect(daemon.targetIds).not.toContain(LEAVING);
    expect(daemon.targetIds).not.toContain(LATER_LEAVING);
    const { length } = daemon.blackboard.peers.read();
    expect(length).toBe(fleet.daemons.length - 1);
  }
}

const TROUBLES: Record<string, Trouble> = {
  "alone": {},
  "after a long time": { isAwayForLong: true },
  "with revisions that pass the old ones": { passesRevisions: true },
  "while a zone is cut off": { cutsZone: true },
  "while a daemon is frozen": { freezes: true },
  "while a daemon is killed and started": { kills: true },
  "in all of this at once": {
    cutsZone: true,
    freezes: true,
    kills: true,
    passesRevisions: true,
  },
};

// Guards against daemons that hold on to the old history, go back to the copy,
// or take what it lacks for deleted.
describe.each([6, 67, 300])("a store that comes back older at %i daemons", (
  daemons,
) => {
  const names = daemons === 300
    ? ["alone", "in all of this at once"]
    : Object.keys(TROUBLES);
  it.each(names)("%s", async (name) => {
    await startFleet(daemons);
    await restoreStore(TROUBLES[name]!);
    await expectInForce();
  }, TEST_TIMEOUT_MS);

  it("comes back older twice", async () => {
    await startFleet(daemons);
    await restoreStore({});
    const copy = fleet.store.backup();
    fleet.publish(4);
    await fleet.advance(1_500);
    fleet.setStoreDown(true);
    fleet.store.restore(copy);
    await fleet.advance(500);
    fleet.setStoreDown(false);
    await fleet.advance(500);
    expect(inTouch().every(({ version }) => version === 4)).toBe(true);
    fleet.register(LATER_LEAVING, { isLeaving: true, sequence: 2 });
    fleet.publish(5);
    await fleet.advance(APPLY_MS);
    for (const daemon of inTouch()) {
      expect(daemon.version).toBe(5);
      expect(daemon.targetIds).not.toContain(LATER_LEAVING);
    }
  }, TEST_TIMEOUT_MS);
});
