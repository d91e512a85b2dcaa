import { orderByRendezvous } from "@coltsfootford/core";
import type { TargetView } from "../blackboard/index.ts";
import type { RequestContext } from "./request_context.ts";

/** The serving targets of the request's pool, best first. */
export function orderTargets(
  targets: ReadonlyMap<string, TargetView>,
  context: RequestContext,
): TargetView[] {
  const names: string[] = [];
  for (const target of targets.values()) {
    if (target.pool !== context.pool.name) continue;
    if (target.state === "live") names.push(target.name);
  }
  const ordered = orderByRendezvous(context.chatKey, names);
  return ordered.map((name) => targets.get(name)!);
}
