import type { TargetView } from "../blackboard/index.ts";
import type { RequestContext } from "./request_context.ts";

/** Ranks the targets of a request's pool. */
export interface TargetOrder {
  /** The targets that may serve the request, most preferred first. */
  orderTargets(context: RequestContext): TargetView[];
}
