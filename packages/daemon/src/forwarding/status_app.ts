import { Hono } from "hono";
import type { JSONRPCServer } from "json-rpc-2.0";
import type { Controller } from "../controllers/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { type ForwardingBlackboard, isReady } from "./forwarding_blackboard.ts";
import { PEER_RPC_PATH } from "./knowledge/index.ts";

/** Dependencies of the status app. */
export interface StatusAppDependencies {
  readonly blackboard: ForwardingBlackboard;
  readonly metrics: Metrics;
  readonly controllers: readonly Controller[];
  readonly rpc: JSONRPCServer;
  /** The path of the load balancer's readiness probes. */
  readonly readinessPath: string;
}

/** Serves readiness, metrics, a state dump, and RPC calls of other daemons. */
export function createStatusApp(dependencies: StatusAppDependencies): Hono {
  const { blackboard, metrics, controllers, rpc } = dependencies;
  const app = new Hono();
  app.get(dependencies.readinessPath, (context) => {
    const ready = isReady(blackboard);
    return context.json({ ready }, ready ? 200 : 503);
  });
  app.get("/metrics", (context) => context.text(metrics.renderText()));
  app.get("/dump", (context) =>
    context.json({
      lifecycle: blackboard.lifecycle.read(),
      configVersion: blackboard.routes.read()?.config.version ?? null,
      targets: blackboard.targets.read() ?? null,
      peers: blackboard.peers.read(),
      storeContact: blackboard.storeContact.read(),
      controllers: Object.fromEntries(
        controllers.map((controller) => [
          controller.name,
          controller.dumpState(),
        ]),
      ),
      metrics: metrics.dump(),
    }));
  app.post(PEER_RPC_PATH, async (context) => {
    const response = await rpc.receiveJSON(await context.req.text());
    return response ? context.json(response) : context.body(null, 204);
  });
  return app;
}
