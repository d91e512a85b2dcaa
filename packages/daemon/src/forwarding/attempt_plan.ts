import type {
  EventSequence,
  InFlightAttempt,
  Placement,
} from "@coltsfootford/core";
import type { AcceptedRequest } from "./forwarding_types.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { AttemptPlan } from "./target_attempt.ts";
import type { PooledTarget } from "./target_pool.ts";

/** Share of the remaining time that one connect may take. */
const CONNECT_SHARE = 0.3;
/** Longest connect timeout; a lost SYN is retransmitted only after a second. */
const MAX_CONNECT_MS = 500;

/** What differs between the attempts of one request, beside the placement. */
export interface AttemptState {
  readonly timeLeftMs: number;
  /** The events of the response so far. */
  readonly events: EventSequence;
  readonly inFlight: InFlightAttempt;
}

/** The plan of one attempt to send the request to the chosen target. */
export function createAttemptPlan(
  accepted: AcceptedRequest,
  placement: Placement,
  codec: RequestCodec,
  { timeLeftMs, events, inFlight }: AttemptState,
): AttemptPlan {
  const { metadata, route, team, engine } = accepted;
  const target = placement.candidate as PooledTarget;
  return {
    requestId: metadata.requestId,
    method: accepted.method,
    path: accepted.path,
    headers: codec.encodeAttempt(metadata, {
      targetId: target.target.id,
      timeLeftMs,
      team: team?.name,
      rank: engine ? team?.rank ?? route.rank : undefined,
      lastEventId: events.lastEventId,
      fetchFrom: placement.source?.candidate.target,
    }),
    body: accepted.body,
    target,
    connectTimeoutMs: Math.min(MAX_CONNECT_MS, timeLeftMs * CONNECT_SHARE),
    isStream: route.kind === "stream",
    maxOutputTokens: metadata.prompt.maxOutputTokens,
    inFlight,
    events,
    held: accepted.response.held,
  };
}
