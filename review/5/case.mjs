/**
 * Open connections to the store go silent, while new ones work. Later a worker
 * says that it leaves.
 */
import { HAS_TROUBLE, runCase, sleep } from "../lib/case.mjs";
import { createConnection, send } from "../lib/client.mjs";
import { createConfig, KEY, ROUTE_HOST } from "../lib/config.mjs";
import { Daemon } from "../lib/daemon.mjs";
import { log } from "../lib/record.mjs";
import { Store } from "../lib/store.mjs";
import { Worker } from "../lib/worker.mjs";

/** The machines of the sheet. */
const ZONES = ["cba-a", "cba-a", "cba-b", "cba-b", "cba-b", "cba-c"];
const MACHINES = ZONES.map((zone, index) => {
  const number = ZONES.slice(0, index + 1).filter((one) => one === zone).length;
  return { zone, name: `front-${zone}-${number}` };
});
const START_PERIOD_MS = 50;
/** Serializable reads "may be seconds old". */
const STALE_MS = 2_000;
/** The sheet: contact_ms and drain_ms. */
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
const ROUNDS = 4;
const ROUND_MS = 16_000;
const CONNECTIONS = 2;
const PAUSE_MS = 40;

runCase(
  import.meta.url,
  async ({ folder, running }) => {
    const store = new Store();
    store.staleMs = STALE_MS;
    const doors = [];
    for (const _ of MACHINES) doors.push(await store.open());
    store.write("op/config", createConfig(7));
    const workers = [];
    const startWorker = async () => {
      const id = `i-${workers.length}`;
      const worker = new Worker({ store, id, service: "desk", slots: 6 });
      workers.push(worker);
      await worker.start();
    };
    for (let index = 0; index < 4; index++) await startWorker();
    const daemons = await Daemon.allocate(MACHINES, folder, doors);
    running.push(...daemons);
    for (const daemon of daemons) {
      daemon.start();
      await sleep(START_PERIOD_MS);
    }
    for (const daemon of daemons) await daemon.waitUntilReady();
    let isOver = false;
    const sentBy = new Map();
    const clients = daemons.flatMap((daemon) =>
      Array.from({ length: CONNECTIONS }, async () => {
        const agent = createConnection();
        while (!isOver) {
          const { id, status } = await send(daemon.front, {
            agent,
            path: "/status/1",
            host: ROUTE_HOST,
            key: KEY,
          });
          sentBy.set(id, { daemon: daemon.name, status });
          await sleep(PAUSE_MS);
        }
        agent.destroy();
      })
    );
    await sleep(14_000);
    const late = [];
    for (let round = 0; round < ROUNDS; round++) {
      const startedAtMs = performance.now();
      if (HAS_TROUBLE) {
        store.silenceOpenConnections();
        log("open connections to the store have gone silent");
      }
      await sleep(CONTACT_MS + 1_000);
      await startWorker();
      const leaving = workers[round];
      const ackAtMs = performance.now();
      void leaving.leave(8_000);
      log(`${leaving.id} is draining, which the store has acknowledged`);
      await sleep(8_500);
      for (const run of leaving.runs) {
        const afterMs = run.atMs - ackAtMs;
        if (afterMs <= DRAIN_MS) continue;
        late.push(run);
        const { daemon, status } = sentBy.get(run.id) ?? {};
        log(
          `${run.id} of ${daemon} ran at ${leaving.id} ` +
            `${Math.round(afterMs)} ms after that, and got ${status}`,
        );
      }
      await sleep(startedAtMs + ROUND_MS - performance.now());
      if (late.length > 0) break;
    }
    isOver = true;
    await Promise.all(clients);
    log(`${late.length} requests reached a worker later than drain_ms`);
    return late.length === 0;
  },
);
