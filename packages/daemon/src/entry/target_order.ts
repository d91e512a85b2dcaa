import type { TargetView } from "../blackboard/index.ts";
import type { RequestContext } from "./request_context.ts";

/** Puts the targets of a request's pool in order. */
export interface TargetOrder {
  /** The serving targets that the request should try, best first. */
  orderTargets(context: RequestContext): TargetView[];
}
