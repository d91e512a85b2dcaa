import { Hono } from "hono";
import type { Blackboard } from "../blackboard/index.ts";
import type { Controller } from "../controllers/index.ts";
import type { RunningRequests } from "../entry/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** What the operators' port shows. */
export interface AdminParts {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly controllers: readonly Controller[];
  readonly running: RunningRequests;
  readonly metrics: Metrics;
}

const STATUS_READY = 200;
const STATUS_NOT_READY = 503;

/** The app behind the operators' port. */
export function createAdminApp(parts: AdminParts): Hono {
  const app = new Hono();
  app.get("/healthz", (context) => {
    const phase = parts.blackboard.lifecycle.read();
    const isReady = phase === "serving" &&
      parts.blackboard.config.read().revision > 0;
    const status = isReady ? STATUS_READY : STATUS_NOT_READY;
    return context.json({ isReady, phase }, status);
  });
  app.get("/status", (context) => context.json(describeStatus(parts)));
  app.get("/dump", (context) => context.json(describeState(parts)));
  app.get("/metrics", (context) => context.text(parts.metrics.renderText()));
  return app;
}

function describeStatus(parts: AdminParts): unknown {
  const { blackboard } = parts;
  return {
    vm: parts.vm,
    availabilityZone: parts.availabilityZone,
    phase: blackboard.lifecycle.read(),
    configRevision: blackboard.config.read().revision,
    configNonce: blackboard.config.read().nonce,
    runningRequests: parts.running.count,
    daemons: [...blackboard.daemons.read().values()],
    targets: [...blackboard.targets.read().values()],
  };
}

function describeState(parts: AdminParts): unknown {
  const controllers: Record<string, unknown> = {};
  for (const controller of parts.controllers) {
    controllers[controller.name] = controller.dumpState();
  }
  const { objects } = parts.blackboard.config.read();
  return {
    ...describeStatus(parts) as Record<string, unknown>,
    controllers,
    running: parts.running.list(),
    objects: {
      teams: objects.teams.size,
      routes: [...objects.routes.values()],
      pools: [...objects.pools.values()],
    },
    metrics: parts.metrics.dump(),
    memory: process.memoryUsage(),
    cpu: process.cpuUsage(),
  };
}
