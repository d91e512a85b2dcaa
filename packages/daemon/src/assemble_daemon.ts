import { randomUUID } from "node:crypto";
import type { TimerService } from "@coltsfootford/core";
import {
  EtcdGatewayClient,
  type KeyValueClient,
  SystemTimerService,
  VmListClient,
} from "@coltsfootford/key-value";
import { type Blackboard, createBlackboard } from "./blackboard/index.ts";
import { ByteHoldings } from "./buffering/index.ts";
import { ConfigController, RpcConfigPeers } from "./config/index.ts";
import type { Controller } from "./controllers/index.ts";
import { EntryServer } from "./entry/index.ts";
import { createGuards } from "./guards.ts";
import { OwnerPermitGate, OwnershipController } from "./ownership/index.ts";
import { LimitedLogger, type Logger } from "./log/index.ts";
import {
  MembershipController,
  TargetHealthController,
} from "./membership/index.ts";
import { Metrics } from "./metrics/index.ts";
import { PeerAddressController, Peers } from "./peers/index.ts";
import { PlacementController } from "./placement/index.ts";
import type { Settings } from "./settings/index.ts";
import { TargetClient } from "./targets/index.ts";
import { VmListController } from "./vm_list/index.ts";

/** A crowd of clients may have many thousands of requests evicted at once. */
const MAX_EVICTION_EVENTS_PER_S = 20;

/** The services that all components of a daemon share. */
interface Services {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly keyValue: KeyValueClient;
  readonly peers: Peers;
}

/** The components of a daemon, constructed but not started. */
export interface DaemonAssembly extends Services {
  /** In start order. */
  readonly controllers: readonly Controller[];
  readonly targetHealth: TargetHealthController;
  readonly targetClient: TargetClient;
  readonly entry: EntryServer;
  readonly holdings: ByteHoldings;
}

/** Constructs the components of a daemon; it opens no port or connection. */
export function assembleDaemon(
  settings: Settings,
  logger: Logger,
): DaemonAssembly {
  const services = createServices(settings, logger);
  const membership = new MembershipController({
    ...services,
    seeds: settings.peers,
  });
  const targetHealth = new TargetHealthController({ ...services, membership });
  const { guards, controllers: guardControllers } = createGuards({
    ...services,
    incarnation: randomUUID(),
  });
  const owners = new OwnershipController({ ...services, membership });
  const placement = new PlacementController(services);
  const targetClient = new TargetClient();
  const holdings = new ByteHoldings({
    memoryLimitBytes: settings.memoryLimitBytes,
    timer: services.timer,
    log: new LimitedLogger(logger, services.timer, MAX_EVICTION_EVENTS_PER_S),
    metrics: services.metrics,
  });
  const entry = new EntryServer(services.vm, {
    ...services,
    holdings,
    guards,
    targetClient,
    placement,
    permitGate: new OwnerPermitGate(owners.node),
    leavingObserver: targetHealth,
    shutdownLimitMs: settings.shutdownLimitMs,
    random: Math.random,
  });
  const controllers = [
    createVmListController(settings, services),
    createPeerAddresses(settings, services),
    membership,
    targetHealth,
    createConfigController(settings, services),
    ...guardControllers,
    owners,
    placement,
  ];
  return {
    ...services,
    controllers,
    targetHealth,
    targetClient,
    entry,
    holdings,
  };
}

function createServices(settings: Settings, logger: Logger): Services {
  const { vm, availabilityZone } = settings;
  const timer = new SystemTimerService();
  return {
    vm,
    availabilityZone,
    blackboard: createBlackboard(),
    timer,
    logger,
    metrics: new Metrics(),
    keyValue: new EtcdGatewayClient({
      endpoints: settings.platform.endpoints,
      timer,
      random: Math.random,
    }),
    peers: new Peers({ vm, timer, keys: settings.peerKeys }),
  };
}

function createVmListController(
  settings: Settings,
  services: Services,
): VmListController {
  const { url, pollMs } = settings.vmList;
  const client = new VmListClient({ url, timer: services.timer });
  return new VmListController({ ...services, client, pollMs });
}

function createPeerAddresses(
  settings: Settings,
  services: Services,
): PeerAddressController {
  return new PeerAddressController({
    ...services,
    seeds: settings.peers,
    listen: settings.peerListen,
  });
}

function createConfigController(
  settings: Settings,
  services: Services,
): ConfigController {
  const peers = new RpcConfigPeers({ ...services, seeds: settings.peers });
  return new ConfigController({ ...services, peers, random: Math.random });
}
