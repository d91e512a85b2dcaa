import {
  createStepError,
  maxClientConnections,
  maxControlConnections,
  type StepError,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import { createAdminApp } from "./admin/index.ts";
import { assembleDaemon } from "./assemble_daemon.ts";
import {
  ClientConnections,
  createConnectionLimit,
  serveInOrder,
} from "./connections/index.ts";
import type { Controller } from "./controllers/index.ts";
import { flushOutputs } from "./entry/index.ts";
import { listen, listenRaw, type OpenPort } from "./http/index.ts";
import { createLogger } from "./log/index.ts";
import type { Settings } from "./settings/index.ts";
import { GracefulShutdown } from "./shutdown/index.ts";

/** A running daemon. */
export interface Daemon {
  readonly ports: {
    readonly callers: number;
    readonly admin: number;
    readonly peers: number;
  };
  /** Shuts down gracefully; resolves with the number of requests cut. */
  stop(): Promise<number>;
  /** Logs and counts the requests that are cut if the process exits now. */
  logCutRequests(): number;
  /** Closes all client connections at once, as at the end of a shutdown. */
  closeConnections(): Promise<void>;
  /**
   * Resets each connection whose end would hide a truncated response. Called
   * when the process exits.
   */
  resetTruncated(): void;
}

/** Starts all components of a daemon; the client port opens last. */
export async function startDaemon(
  settings: Settings,
): Promise<Result<Daemon, StepError>> {
  const logger = createLogger(settings.vm, settings.logLevel);
  logger.event("daemonStarting", {
    availabilityZone: settings.availabilityZone,
  });
  const assembly = assembleDaemon(settings, logger);
  const { blackboard, controllers, entry, peers, timer } = assembly;
  const lifecycle = blackboard.lifecycle.claimWriter("daemon");
  const adminApp = createAdminApp({ ...assembly, running: entry.running });
  const admin = await listen(adminApp, "admin", settings.admin);
  if (admin.isErr()) return err(admin.error);
  // Listens to the events of the server, for as long as it is open.
  new ClientConnections(admin.value.server, timer, {
    ...createConnectionLimit({
      maxConnections: maxControlConnections(settings),
      timer,
      log: logger,
      metrics: assembly.metrics,
    }),
    memory: assembly.holdings,
  });
  const started = await startControllers(controllers);
  if (started.isErr()) return err(started.error);
  const clientPort = await listenRaw(
    serveInOrder((incoming, outgoing) => void entry.handle(incoming, outgoing)),
    "listen",
    settings.listen,
  );
  if (clientPort.isErr()) return err(clientPort.error);
  lifecycle.write("serving");
  const ports = {
    callers: clientPort.value.port,
    admin: admin.value.port,
    peers: peers.port,
  };
  logger.event("daemonReady", { ports });

  const { server } = clientPort.value;
  const limit = createConnectionLimit({
    maxConnections: maxClientConnections(settings),
    timer,
    log: logger,
    metrics: assembly.metrics,
  });
  const connections = new ClientConnections(server, timer, {
    ...limit,
    onRejected: (_, socket) => flushOutputs(socket),
    memory: assembly.holdings,
  });
  const shutdown = new GracefulShutdown({
    lifecycle,
    timer,
    logger,
    running: entry.running,
    connections,
    readinessGraceMs: settings.readinessGraceMs,
    timeoutMs: settings.shutdownLimitMs,
    handOverSteps: [],
  });
  const stop = async (): Promise<number> => {
    const cut = await shutdown.run();
    // Controllers stop in reverse start order, so that the connections between
    // daemons close last.
    for (const controller of [...controllers].reverse()) {
      await controller.stop();
    }
    entry.close();
    await assembly.targetClient.close();
    await assembly.keyValue.close();
    closeImmediately(admin.value);
    lifecycle.write("stopped");
    logger.event("daemonStopped", { cut });
    return cut;
  };
  return ok({
    ports,
    stop,
    logCutRequests: () => shutdown.logCutRequests(),
    closeConnections: () => connections.closeAll(),
    resetTruncated: () => connections.resetTruncated(),
  });
}

/** Starts the controllers in order and fails at the first that cannot start. */
async function startControllers(
  controllers: readonly Controller[],
): Promise<Result<void, StepError<"start-failed">>> {
  for (const controller of controllers) {
    try {
      await controller.start();
    } catch (cause) {
      const step = `${controller.name}.start`;
      const message = "cannot start; fix the cause, for example " +
        `choose a free port: ${cause instanceof Error ? cause.message : cause}`;
      return err(createStepError("start-failed", step, message, { cause }));
    }
  }
  return ok(undefined);
}

function closeImmediately(open: OpenPort): void {
  open.server.close();
  open.server.closeAllConnections();
}
