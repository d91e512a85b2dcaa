import { createStepError, type StepError } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import { createAdminApp } from "./admin/index.ts";
import { assembleDaemon } from "./assemble_daemon.ts";
import type { Controller } from "./controllers/index.ts";
import { createEntryApp } from "./entry/index.ts";
import { listen, type OpenPort } from "./http/index.ts";
import { createLogger } from "./log/index.ts";
import type { Settings } from "./settings/index.ts";
import { ConnectionDrain, GracefulShutdown } from "./shutdown/index.ts";

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
  const assembly = assembleDaemon(settings, logger);
  const { blackboard, controllers, entry, peers, timer } = assembly;
  const lifecycle = blackboard.lifecycle.claimWriter("daemon");
  const adminApp = createAdminApp({ ...assembly, running: entry.running });
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
    for (const controller of [...controllers].reverse()) {
      await controller.stop();
    }
    entry.close();
    await assembly.targetClient.close();
    await assembly.keyValue.close();
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
