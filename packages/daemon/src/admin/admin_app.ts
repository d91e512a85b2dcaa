import { formatStepError } from "@coltsfootford/core";
import { Hono } from "hono";
import { z } from "zod";
import type { Blackboard } from "../blackboard/index.ts";
import type { Controller } from "../controllers/index.ts";
import type { RunningRequests } from "../entry/index.ts";
import type { TargetHealthController } from "../membership/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** What the operators' port shows. */
export interface AdminParts {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly controllers: readonly Controller[];
  readonly running: RunningRequests;
  readonly metrics: Metrics;
  readonly targetHealth: TargetHealthController;
}

const drainSchema = z.strictObject({ target: z.string().min(1) });

const STATUS_READY = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
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
  app.post("/drain", async (context) => {
    const order = drainSchema.safeParse(await readJson(context.req.raw));
    if (!order.success) {
      const message = 'the body must be {"target": NAME}';
      return context.json({ error: message }, STATUS_BAD_REQUEST);
    }
    const result = await parts.targetHealth.drain(order.data.target);
    if (result.isOk()) return context.json({ target: order.data.target });
    const isUnknown = result.error.kind === "unknown-target";
    const status = isUnknown ? STATUS_NOT_FOUND : STATUS_NOT_READY;
    return context.json({ error: formatStepError(result.error) }, status);
  });
  return app;
}

/** Parses a body; undefined where it is not JSON. */
async function readJson(request: Request): Promise<unknown> {
  try {
    return await request.json();
  } catch {
    return undefined;
  }
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
