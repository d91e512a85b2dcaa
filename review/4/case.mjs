/**
 * Three daemons of one zone. The store turns one of them away for some seconds;
 * meanwhile the operator takes a key away and moves a route.
 */
import { HAS_TROUBLE, runCase, sleep } from "../lib/case.mjs";
import { createConnection, send } from "../lib/client.mjs";
import { createConfig, KEY, ROUTE_HOST } from "../lib/config.mjs";
import { Daemon } from "../lib/daemon.mjs";
import { log } from "../lib/record.mjs";
import { Store } from "../lib/store.mjs";
import { Worker } from "../lib/worker.mjs";

const ZONE = "cba-b";
const NAMES = ["front-cba-b-1", "front-cba-b-2", "front-cba-b-3"];
const MACHINES = NAMES.map((name) => ({ name, zone: ZONE }));
/** The machine that the store turns away, and for how long. */
const TURNED_AWAY = NAMES[2];
const TURNED_AWAY_MS = 9_000;
const CHANGE_AFTER_MS = 1_000;
/** Engines are replaced one after the other, as in a release of the sheet. */
const ENGINES = 13;
const REPLACED = 6;
const REPLACE_PERIOD_MS = 1_000;
/** The bounds of the sheet: contact_ms, config_apply_ms and outer_ms. */
const IN_FORCE_AFTER_MS = 3_000 + 2_000 + 5_000;
const PROBES = 10;
const PROBE_PERIOD_MS = 500;
const TAKEN_KEY = "anfqasnmgkcuyj8pjbvk";

/** The routes that came with a growth of the configuration. */
const grown = Array.from({ length: 24 }, (_, index) => ({
  name: `r-grown-${index}`,
  prefix: `/grown-${index}/`,
  kind: "safe",
  service: "desk",
  max_attempts: 2,
}));
const moved = (service) => ({
  name: "r-moved",
  prefix: "/moved/",
  kind: "safe",
  service,
  max_attempts: 2,
});
const OLDER = createConfig(7, {
  routes: [...grown, moved("desk")],
  keys: [TAKEN_KEY],
});
const NEWER = createConfig(9, { routes: [...grown, moved("desk-two")] });

runCase(
  import.meta.url,
  async ({ folder, running }) => {
    const store = new Store();
    const doors = [];
    for (const _ of NAMES) doors.push(await store.open());
    store.write("op/config", OLDER);
    for (const [id, service] of [["i-1", "desk"], ["i-2", "desk-two"]]) {
      await new Worker({ store, id, service, zone: ZONE, slots: 6 }).start();
    }
    const engines = [];
    const startEngine = async () => {
      const id = `i-engine-${engines.length}`;
      const worker = new Worker({ store, id, service: "engines", zone: ZONE });
      engines.push(worker);
      await worker.start();
    };
    for (let index = 0; index < ENGINES; index++) await startEngine();
    const daemons = await Daemon.allocate(MACHINES, folder, doors);
    running.push(...daemons);
    for (const daemon of daemons) daemon.start();
    for (const daemon of daemons) await daemon.waitUntilReady();
    await sleep(8_000);

    const door = doors[NAMES.indexOf(TURNED_AWAY)];
    if (HAS_TROUBLE) {
      door.mode = "silent";
      log(`the store no longer answers ${TURNED_AWAY}`);
    }
    const release = async () => {
      for (let index = 0; index < REPLACED; index++) {
        await startEngine();
        void engines[index].leave();
        await sleep(REPLACE_PERIOD_MS);
      }
    };
    void release();
    await sleep(CHANGE_AFTER_MS);
    store.write("op/config", NEWER);
    log("version 9 is acknowledged: a key is gone, /moved/ goes to desk-two");
    await sleep(TURNED_AWAY_MS - CHANGE_AFTER_MS);
    door.mode = "up";
    log(`the store answers ${TURNED_AWAY} again`);
    await sleep(IN_FORCE_AFTER_MS);

    let stale = 0;
    for (let probe = 0; probe < PROBES; probe++) {
      for (const daemon of daemons) {
        const agent = createConnection();
        const taken = await send(daemon.front, {
          agent,
          path: "/status/1",
          host: ROUTE_HOST,
          key: TAKEN_KEY,
        });
        const gone = await send(daemon.front, {
          agent,
          path: "/moved/1",
          host: ROUTE_HOST,
          key: KEY,
        });
        agent.destroy();
        const isStale = taken.status !== 401;
        if (isStale) stale += 1;
        log(
          `${daemon.name}: the taken key gets ${taken.status}, ` +
            `/moved/ gets ${gone.status}`,
        );
      }
      await sleep(PROBE_PERIOD_MS);
    }
    log(`${stale} requests with the taken key were not answered 401`);
    return stale === 0;
  },
);
