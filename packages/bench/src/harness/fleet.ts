import { FleetDaemon } from "./fleet_daemon.ts";
import type { DaemonPlan, FleetPlan } from "./fleet_plan.ts";
import { type CliResult, runCli } from "./operator.ts";
import { SettingsFiles } from "./settings_files.ts";
import type { StandInClient } from "./stand_in_client.ts";
import {
  createPlatformSettings,
  createTargetSettings,
  type StandIns,
  startStandIns,
  vmListName,
} from "./stand_in_processes.ts";
import { PLATFORM, ZoneLinks } from "./zone_links.ts";

const HOST = "127.0.0.1";
const VM_LIST_POLL_MS = 200;
const PEER_KEY = { id: "harness", secretHex: "5a".repeat(32) };

/** A VM in the form that a VM list stand-in accepts. */
interface VmListEntry {
  readonly name: string;
  readonly role: "daemon" | "target";
  readonly availabilityZone: string;
  readonly pool?: string;
  readonly port: number;
  readonly peerPort?: number;
  readonly state: "live" | "leaving";
}

/** A running fleet: stand-ins and daemons as local processes. */
export class Fleet {
  readonly plan: FleetPlan;
  /** Undefined if the plan has no delay between zones. */
  readonly links: ZoneLinks | undefined;
  readonly #files = new SettingsFiles();
  readonly #daemons = new Map<string, FleetDaemon>();
  #targets: StandIns | undefined;
  #platform: StandIns | undefined;

  private constructor(plan: FleetPlan) {
    this.plan = plan;
    this.links = plan.zoneDelayMs === undefined
      ? undefined
      : new ZoneLinks(plan.zoneDelayMs);
  }

  /** Starts all processes; stops the started ones if any of them fails. */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = new Fleet(plan);
    try {
      await fleet.#startStandIns();
      await Promise.all(plan.daemons.map((it) => fleet.startDaemon(it)));
      await fleet.#publish();
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  /** Records and injected faults of all targets, by VM name. */
  get targets(): StandInClient {
    return this.#requireTargets().client;
  }

  /** Records and injected faults of the platform's stand-ins. */
  get platform(): StandInClient {
    return this.#requirePlatform().client;
  }

  /** URL of the key-value service, bypassing the links. */
  get platformUrl(): string {
    return `http://${HOST}:${this.#requirePlatform().ports["platform"]}`;
  }

  get daemons(): readonly FleetDaemon[] {
    return [...this.#daemons.values()];
  }

  daemon(vm: string): FleetDaemon {
    const daemon = this.#daemons.get(vm);
    if (!daemon) throw new Error(`no daemon ${vm} was started`);
    return daemon;
  }

  /** URL of a target, bypassing the links. */
  targetUrl(vm: string): string {
    return `http://${HOST}:${this.#requireTargets().ports[vm]}`;
  }

  /** Starts a daemon, or a new process that replaces an ended one. */
  async startDaemon(plan: DaemonPlan): Promise<FleetDaemon> {
    const settings = await this.#createDaemonSettings(plan);
    const daemon = await FleetDaemon.start(plan, settings, this.#files);
    this.#daemons.set(plan.vm, daemon);
    await this.#registerVm({
      name: plan.vm,
      role: "daemon",
      availabilityZone: plan.availabilityZone,
      port: daemon.clientPort,
      peerPort: daemon.peerPort,
      state: "live",
    });
    return daemon;
  }

  /** Changes the state of VMs in all VM lists. */
  async setVmStates(states: Record<string, "live" | "leaving">): Promise<void> {
    await this.#updateVmLists({ states });
  }

  /** Removes VMs from all VM lists. */
  async removeVms(names: readonly string[]): Promise<void> {
    await this.#updateVmLists({ remove: names });
  }

  /** Stops all processes and removes the settings files. */
  async stop(): Promise<void> {
    const processes = [
      ...this.daemons.map((daemon) => daemon.process),
      this.#targets?.process,
      this.#platform?.process,
    ];
    await Promise.all(processes.map((it) => it?.kill()));
    await this.links?.close();
    this.#files.remove();
  }

  /** Runs `coltsfoot` against this fleet. */
  runCli(args: readonly string[]): Promise<CliResult> {
    const adminUrls = this.daemons.map((daemon) => daemon.adminUrl);
    return runCli({ platformUrl: this.platformUrl, adminUrls }, args);
  }

  async #publish(): Promise<void> {
    const directory = this.#files.writeObjects(this.plan.objects);
    for (
      const args of [["check", directory], ["publish", directory, "--wait"]]
    ) {
      const { exitCode, output } = await this.runCli(args);
      if (exitCode === 0) continue;
      throw new Error(`coltsfoot ${args[0]} ended with ${exitCode}: ${output}`);
    }
    await Promise.all(this.daemons.map((daemon) => daemon.waitUntilReady()));
  }

  async #startStandIns(): Promise<void> {
    const { plan } = this;
    const [targets, platform] = await Promise.all([
      startStandIns("targets", createTargetSettings(plan), this.#files),
      startStandIns("platform", createPlatformSettings(plan), this.#files),
    ]);
    this.#targets = targets;
    this.#platform = platform;
    for (const pool of plan.pools) {
      for (const { vm, availabilityZone } of pool.targets) {
        await this.#registerVm({
          name: vm,
          role: "target",
          availabilityZone,
          pool: pool.pool,
          port: targets.ports[vm] ?? 0,
          state: "live",
        });
      }
    }
  }

  async #createDaemonSettings(plan: DaemonPlan): Promise<unknown> {
    const { ports } = this.#requirePlatform();
    const zone = plan.availabilityZone;
    const platformPort = await this.#resolvePlatformPort(
      zone,
      ports["platform"],
    );
    const listPort = await this.#resolvePlatformPort(
      zone,
      ports[vmListName(zone)],
    );
    return {
      vm: plan.vm,
      availabilityZone: zone,
      platform: { endpoints: [`http://${HOST}:${platformPort}`] },
      vmList: {
        url: `http://${HOST}:${listPort}/v1/vms`,
        pollMs: VM_LIST_POLL_MS,
      },
      peers: await this.#createSeeds(plan),
      peerKeys: [PEER_KEY],
      ...this.plan.daemonSettings,
    };
  }

  /** The running daemons, with the ports by which a new daemon reaches them. */
  async #createSeeds(plan: DaemonPlan): Promise<unknown[]> {
    const seeds = this.daemons.filter((daemon) =>
      daemon.vm !== plan.vm && daemon.peerPort > 0
    );
    return await Promise.all(seeds.map(async (daemon) => ({
      vm: daemon.vm,
      availabilityZone: daemon.availabilityZone,
      host: HOST,
      peerPort: await this.#resolvePort(
        plan.availabilityZone,
        daemon.availabilityZone,
        daemon.peerPort,
      ),
    })));
  }

  /** Adds a VM to every zone's list, with ports reachable from that zone. */
  async #registerVm(vm: VmListEntry): Promise<void> {
    for (const zone of this.plan.availabilityZones) {
      const resolvePort = (port: number) =>
        this.#resolvePort(zone, vm.availabilityZone, port);
      const entry = {
        ...vm,
        host: HOST,
        port: await resolvePort(vm.port),
        ...(vm.peerPort ? { peerPort: await resolvePort(vm.peerPort) } : {}),
      };
      if (!vm.peerPort) delete entry.peerPort;
      await this.platform.setFaults(vmListName(zone), { upsert: [entry] });
    }
  }

  async #updateVmLists(change: object): Promise<void> {
    for (const zone of this.plan.availabilityZones) {
      await this.platform.setFaults(vmListName(zone), change);
    }
  }

  async #resolvePort(from: string, to: string, port: number): Promise<number> {
    return await this.links?.reach(from, to, port) ?? port;
  }

  #resolvePlatformPort(
    zone: string,
    port: number | undefined,
  ): Promise<number> {
    return this.#resolvePort(zone, PLATFORM, port ?? 0);
  }

  #requireTargets(): StandIns {
    if (!this.#targets) throw new Error("the targets were not started");
    return this.#targets;
  }

  #requirePlatform(): StandIns {
    if (!this.#platform) throw new Error("the platform was not started");
    return this.#platform;
  }
}
