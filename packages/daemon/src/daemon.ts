import { randomUUID } from "node:crypto";
import { createStepError, type StepError } from "@coltsfootford/core";
import {
  EtcdGatewayClient,
  SystemTimerService,
  VmListClient,
} from "@coltsfootford/platform";
import { err, ok, type Result } from "neverthrow";
import { createAdminApp } from "./admin/index.ts";
import { createBlackboard } from "./blackboard/index.ts";
import { ConfigController, RpcConfigPeers } from "./config/index.ts";
import type { Controller } from "./controllers/index.ts";
import { createEntryApp, EntryServer } from "./entry/index.ts";
import { createGuards } from "./guards.ts";
import { KeeperController, KeeperPermitGate } from "./keepers/index.ts";
import { listen, type OpenPort } from "./http/index.ts";
import { createLogger } from "./log/index.ts";
import {
  MembershipController,
  TargetHealthController,
} from "./membership/index.ts";
import { Metrics } from "./metrics/index.ts";
import { PlacementController } from "./placement/index.ts";
import { PeerAddressController, Peers } from "./peers/index.ts";
import type { Settings } from "./settings/index.ts";
import { ConnectionDrain, GracefulShutdown } from "./shutdown/index.ts";
import { TargetClient } from "./targets/index.ts";
import { VmListController } from "./vm_list/index.ts";

/** A running daemon. */
export interface Daemon {
  readonly ports: {
    readonly callers: number;
    readonly admin: number;
    readonly peers: number;
  };
  /** Ends gracefully; resolves with the number of requests that were cut. */
  stop(): Promise<number>;
  /** Logs the requests that an end at this moment cuts, and counts them. */
  reportCut(): number;
}

/** Starts every part of a daemon; the caller's port opens last. */
export async function startDaemon(
  settings: Settings,
): Promise<Result<Daemon, StepError>> {
  const logger = createLogger(settings.vm, settings.logLevel);
  logger.event("daemonStarting", {
    availabilityZone: settings.availabilityZone,
  });
  const timer = new SystemTimerService();
  const blackboard = createBlackboard();
  const lifecycle = blackboard.lifecycle.claimWriter("daemon");
  const metrics = new Metrics();
  const keyValue = new EtcdGatewayClient({
    endpoints: settings.platform.endpoints,
    timer,
    random: Math.random,
  });
  const targetClient = new TargetClient();
  const peers = new Peers({
    vm: settings.vm,
    timer,
    keys: settings.peerKeys,
  });
  const membership = new MembershipController({
    vm: settings.vm,
    availabilityZone: settings.availabilityZone,
    blackboard,
    peers,
    seeds: settings.peers,
    timer,
    logger,
  });
  const targetHealth = new TargetHealthController({
    vm: settings.vm,
    blackboard,
    membership,
    peers,
    timer,
  });
  const controllers: Controller[] = [
    new VmListController({
      blackboard,
      client: new VmListClient({ url: settings.vmList.url, timer }),
      timer,
      logger,
      pollMs: settings.vmList.pollMs,
    }),
    new PeerAddressController({
      vm: settings.vm,
      blackboard,
      peers,
      seeds: settings.peers,
      listen: settings.peerListen,
    }),
    membership,
    targetHealth,
    new ConfigController({
      vm: settings.vm,
      blackboard,
      keyValue,
      peers: new RpcConfigPeers({
        vm: settings.vm,
        availabilityZone: settings.availabilityZone,
        blackboard,
        peers,
        seeds: settings.peers,
      }),
      timer,
      logger,
      random: Math.random,
    }),
  ];
  const { guards, controllers: guardControllers } = createGuards({
    ...settings,
    incarnation: randomUUID(),
    blackboard,
    timer,
    keyValue,
    peers,
    logger,
    metrics,
  });
  controllers.push(...guardControllers);
  const keepers = new KeeperController({
    vm: settings.vm,
    blackboard,
    membership,
    peers,
    timer,
  });
  controllers.push(keepers);
  const placement = new PlacementController({
    availabilityZone: settings.availabilityZone,
    blackboard,
    timer,
  });
  controllers.push(placement);
  const entry = new EntryServer(settings.vm, {
    guards,
    blackboard,
    timer,
    targetClient,
    placement,
    permitGate: new KeeperPermitGate(keepers.node),
    logger,
    metrics,
  });
  const adminApp = createAdminApp({
    vm: settings.vm,
    availabilityZone: settings.availabilityZone,
    blackboard,
    controllers,
    running: entry.running,
    metrics,
    targetHealth,
  });
  const admin = await listen(adminApp, "admin", settings.admin);
  if (admin.isErr()) return err(admin.error);
  const started = await startControllers(controllers);
  if (started.isErr()) return err(started.error);
  const callers = await listen(
    createEntryApp(entry),
    "listen",
    settings.listen,
  );
  if (callers.isErr()) return err(callers.error);
  lifecycle.write("serving");
  const ports = {
    callers: callers.value.port,
    admin: admin.value.port,
    peers: peers.port,
  };
  logger.event("daemonReady", { ports });

  const shutdown = new GracefulShutdown({
    lifecycle,
    timer,
    logger,
    running: entry.running,
    drain: new ConnectionDrain(callers.value.server, timer),
    readinessGraceMs: settings.readinessGraceMs,
    limitMs: settings.shutdownLimitMs,
    handOverSteps: [],
  });
  const stop = async (): Promise<number> => {
    const cut = await shutdown.run();
    // The connections between daemons were opened first and end last.
    for (const controller of controllers.reverse()) await controller.stop();
    entry.close();
    await targetClient.close();
    await keyValue.close();
    closeNow(admin.value);
    lifecycle.write("stopped");
    logger.event("daemonStopped", { cut });
    return cut;
  };
  return ok({ ports, stop, reportCut: () => shutdown.reportCut() });
}

/** Starts controllers in turn; the first that cannot start ends the daemon. */
async function startControllers(
  controllers: readonly Controller[],
): Promise<Result<void, StepError<"start-failed">>> {
  for (const controller of controllers) {
    try {
      await controller.start();
    } catch (cause) {
      const step = `${controller.name}.start`;
      const message = "cannot start; mend what the cause names, for example " +
        `choose a free port: ${cause instanceof Error ? cause.message : cause}`;
      return err(createStepError("start-failed", step, message, { cause }));
    }
  }
  return ok(undefined);
}

function closeNow(open: OpenPort): void {
  open.server.close();
  open.server.closeAllConnections();
}
