import { type Fleet, type FleetDaemon, waitUntil } from "../harness/index.ts";

/** The fields of a daemon's state dump that these tests read. */
interface DaemonDump {
  readonly daemons: readonly { readonly vm: string; readonly state: string }[];
  readonly controllers: {
    readonly membership: {
      readonly incarnation: number;
      readonly mandateValid: boolean;
      readonly unreachableZones: readonly string[];
    };
  };
}

/** Reads a daemon's state dump. */
export async function readDump(daemon: FleetDaemon): Promise<DaemonDump> {
  return await daemon.dump() as unknown as DaemonDump;
}

/** Waits until all `observers` report `vm` in one of `states`. */
export async function waitForMemberState(
  observers: readonly FleetDaemon[],
  vm: string,
  states: readonly string[],
): Promise<void> {
  await waitUntil(`${vm} to be ${states.join(" or ")}`, async () => {
    const dumps = await Promise.all(observers.map(readDump));
    return dumps.every((dump) =>
      dump.daemons.some((it) => it.vm === vm && states.includes(it.state))
    );
  });
}

/** Waits until every daemon reports all daemons as live. */
export async function waitUntilAllLive(fleet: Fleet): Promise<void> {
  for (const { vm } of fleet.daemons) {
    await waitForMemberState(fleet.daemons, vm, ["live"]);
  }
}
