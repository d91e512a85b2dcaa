import { FleetDaemon } from "./fleet_daemon.ts";
import type { DaemonPlan, FleetPlan } from "./fleet_plan.ts";
import { type CliRun, runCli } from "./operator.ts";
import { SettingsFiles } from "./settings_files.ts";
import type { StandInClient } from "./stand_in_client.ts";
import {
  describePlatform,
  describeTargets,
  nameVmList,
  type StandIns,
  startStandIns,
} from "./stand_in_processes.ts";
import { PLATFORM, ZoneLinks } from "./zone_links.ts";

const HOST = "127.0.0.1";
const VM_LIST_POLL_MS = 200;
const PEER_KEY = { id: "harness", secretHex: "5a".repeat(32) };

/** A VM as a VM list stand-in takes it. */
interface ListedVm {
  readonly name: string;
  readonly role: "daemon" | "target";
  readonly availabilityZone: string;
  readonly pool?: string;
  readonly port: number;
  readonly peerPort?: number;
  readonly state: "live" | "leaving";
}

/** A running fleet: stand-ins and daemons as processes of this machine. */
export class Fleet {
  readonly plan: FleetPlan;
  /** Undefined where the plan has no delay between zones. */
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

  /** Starts everything; stops what was started where a part fails. */
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

  /** The truth and faults of all targets, by VM name. */
  get targets(): StandInClient {
    return this.#requireTargets().client;
  }

  /** The truth and faults of the platform's parts. */
  get platform(): StandInClient {
    return this.#requirePlatform().client;
  }

  /** The key-value service, reached without a link. */
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

  /** Where a target listens, reached without a link. */
  targetUrl(vm: string): string {
    return `http://${HOST}:${this.#requireTargets().ports[vm]}`;
  }

  /** Starts a daemon, or a new process in the place of an ended one. */
  async startDaemon(plan: DaemonPlan): Promise<FleetDaemon> {
    const settings = await this.#describeDaemon(plan);
    const daemon = await FleetDaemon.start(plan, settings, this.#files);
    this.#daemons.set(plan.vm, daemon);
    await this.#list({
      name: plan.vm,
      role: "daemon",
      availabilityZone: plan.availabilityZone,
      port: daemon.callersPort,
      peerPort: daemon.peerPort,
      state: "live",
    });
    return daemon;
  }

  /** Changes the state of VMs in all VM lists. */
  async setVmStates(states: Record<string, "live" | "leaving">): Promise<void> {
    await this.#changeLists({ states });
  }

  /** Takes VMs out of all VM lists. */
  async removeVms(names: readonly string[]): Promise<void> {
    await this.#changeLists({ remove: names });
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
  runCli(args: readonly string[]): Promise<CliRun> {
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
      startStandIns("targets", describeTargets(plan), this.#files),
      startStandIns("platform", describePlatform(plan), this.#files),
    ]);
    this.#targets = targets;
    this.#platform = platform;
    for (const pool of plan.pools) {
      for (const { vm, availabilityZone } of pool.targets) {
        await this.#list({
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

  async #describeDaemon(plan: DaemonPlan): Promise<unknown> {
    const { ports } = this.#requirePlatform();
    const zone = plan.availabilityZone;
    const platformPort = await this.#reachPlatform(zone, ports["platform"]);
    const listPort = await this.#reachPlatform(zone, ports[nameVmList(zone)]);
    return {
      vm: plan.vm,
      availabilityZone: zone,
      platform: { endpoints: [`http://${HOST}:${platformPort}`] },
      vmList: {
        url: `http://${HOST}:${listPort}/v1/vms`,
        pollMs: VM_LIST_POLL_MS,
      },
      peers: await this.#describeSeeds(plan),
      peerKeys: [PEER_KEY],
      ...this.plan.daemonSettings,
    };
  }

  /** The daemons that run already, as a new one reaches them. */
  async #describeSeeds(plan: DaemonPlan): Promise<unknown[]> {
    const seeds = this.daemons.filter((daemon) =>
      daemon.vm !== plan.vm && daemon.peerPort > 0
    );
    return await Promise.all(seeds.map(async (daemon) => ({
      vm: daemon.vm,
      availabilityZone: daemon.availabilityZone,
      host: HOST,
      peerPort: await this.#reach(
        plan.availabilityZone,
        daemon.availabilityZone,
        daemon.peerPort,
      ),
    })));
  }

  /** Enters a VM into every zone's list with the ports seen from there. */
  async #list(vm: ListedVm): Promise<void> {
    for (const zone of this.plan.availabilityZones) {
      const reach = (port: number) =>
        this.#reach(zone, vm.availabilityZone, port);
      const seen = {
        ...vm,
        host: HOST,
        port: await reach(vm.port),
        ...(vm.peerPort ? { peerPort: await reach(vm.peerPort) } : {}),
      };
      if (!vm.peerPort) delete seen.peerPort;
      await this.platform.setFaults(nameVmList(zone), { upsert: [seen] });
    }
  }

  async #changeLists(change: object): Promise<void> {
    for (const zone of this.plan.availabilityZones) {
      await this.platform.setFaults(nameVmList(zone), change);
    }
  }

  async #reach(from: string, to: string, port: number): Promise<number> {
    return await this.links?.reach(from, to, port) ?? port;
  }

  #reachPlatform(zone: string, port: number | undefined): Promise<number> {
    return this.#reach(zone, PLATFORM, port ?? 0);
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
