import { setTimeout as sleep } from "node:timers/promises";
import type { Hono } from "hono";
import { type NodeEnv, notRunResponse, readJsonBody } from "../http/index.ts";
import { type Order, type OrderLog, orderSchema } from "./orders.ts";

/** Adds the orders route; load and unload orders change `models`. */
export function addOrderRoute(
  app: Hono<NodeEnv>,
  orders: OrderLog,
  models: Set<string>,
  orderMs: number,
): void {
  app.post("/orders", async (context) => {
    const body = await readJsonBody(context, orderSchema);
    if (!body.ok) return notRunResponse(400, "invalid_request", body.message);
    const outcome = orders.accept(body.value);
    if (outcome === "stale_fence") {
      return notRunResponse(409, outcome, "fence: a higher number was seen");
    }
    if (outcome === "done") {
      await sleep(orderMs);
      applyOrder(body.value, models);
    }
    return context.json({ name: body.value.name, verdict: outcome });
  });
}

function applyOrder(order: Order, models: Set<string>): void {
  const { kind, model, adapter } = order;
  if (model === undefined) return;
  if (kind === "load_model") models.add(model);
  if (kind === "unload_model") models.delete(model);
  if (kind === "load_adapter") models.add(`${model}:${adapter ?? ""}`);
}
