import { formatStepError } from "@coltsfootford/core";
import { Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { z } from "zod";
import type { Blackboard } from "../blackboard/index.ts";
import type { Controller } from "../controllers/index.ts";
import type { RunningRequests } from "../entry/index.ts";
import type { TargetHealthController } from "../membership/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** The services whose state the admin port exposes. */
export interface AdminDependencies {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly controllers: readonly Controller[];
  readonly running: RunningRequests;
  readonly metrics: Metrics;
  readonly targetHealth: TargetHealthController;
}

/** Largest request of an operator. */
const MAX_BODY_BYTES = 64 * 1024;

const drainSchema = z.strictObject({ target: z.string().min(1) });

const STATUS_READY = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_NOT_READY = 503;

/** The app behind the admin port. */
export function createAdminApp(dependencies: AdminDependencies): Hono {
  const app = new Hono();
  app.use(bodyLimit({ maxSize: MAX_BODY_BYTES }));
  app.get("/healthz", (context) => {
    const phase = dependencies.blackboard.lifecycle.read();
    const isReady = phase === "serving" &&
      dependencies.blackboard.config.read().revision > 0;
    const status = isReady ? STATUS_READY : STATUS_NOT_READY;
    return context.json({ isReady, phase }, status);
  });
  app.get("/status", (context) => context.json(describeStatus(dependencies)));
  app.get("/dump", (context) => context.json(describeState(dependencies)));
  app.get(
    "/metrics",
    (context) => context.text(dependencies.metrics.renderText()),
  );
  app.post("/drain", async (context) => {
    const request = drainSchema.safeParse(await readJson(context.req.raw));
    if (!request.success) {
      const message = 'the body must be {"target": NAME}';
      return context.json({ error: message }, STATUS_BAD_REQUEST);
    }
    const result = await dependencies.targetHealth.drain(request.data.target);
    if (result.isOk()) return context.json({ target: request.data.target });
    const isUnknown = result.error.kind === "unknown-target";
    const status = isUnknown ? STATUS_NOT_FOUND : STATUS_NOT_READY;
    return context.json({ error: formatStepError(result.error) }, status);
  });
  return app;
}

/** Parses a body; undefined if it is not JSON. */
async function readJson(request: Request): Promise<unknown> {
  try {
    return await request.json();
  } catch {
    return undefined;
  }
}

function describeStatus(dependencies: AdminDependencies): unknown {
  const { blackboard } = dependencies;
  return {
    vm: dependencies.vm,
    availabilityZone: dependencies.availabilityZone,
    phase: blackboard.lifecycle.read(),
    configRevision: blackboard.config.read().revision,
    configNonce: blackboard.config.read().nonce,
    runningRequests: dependencies.running.count,
    daemons: [...blackboard.daemons.read().values()],
    targets: [...blackboard.targets.read().values()],
  };
}

function describeState(dependencies: AdminDependencies): unknown {
  const controllers: Record<string, unknown> = {};
  for (const controller of dependencies.controllers) {
    controllers[controller.name] = controller.dumpState();
  }
  const { objects } = dependencies.blackboard.config.read();
  return {
    ...describeStatus(dependencies) as Record<string, unknown>,
    controllers,
    running: dependencies.running.list(),
    objects: {
      teams: objects.teams.size,
      routes: [...objects.routes.values()],
      pools: [...objects.pools.values()],
    },
    metrics: dependencies.metrics.dump(),
    memory: process.memoryUsage(),
    cpu: process.cpuUsage(),
  };
}
