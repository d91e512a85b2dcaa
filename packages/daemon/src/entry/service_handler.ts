import type { IncomingMessage, ServerResponse } from "node:http";
import { err, type Result } from "neverthrow";
import { needsClaim } from "../claims/index.ts";
import { createClientSignal } from "./client_signal.ts";
import type { EntryServices } from "./entry_server.ts";
import { checkRouteTeam, choosePool, findServiceRoute } from "./find_route.ts";
import { readBody } from "./read_body.ts";
import { type ClientHeaders, readClientHeaders } from "./read_headers.ts";
import type { RequestError } from "./request_error.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestMemory } from "./request_memory.ts";
import { BufferedRelay } from "./buffered_relay.ts";

const SERVICE_PATH = /^\/services\/([^/?]+)(.*)$/;

/**
 * Handles a request to a plain service; the path names the route. Its caller
 * releases `memory`.
 */
export async function serviceHandler(
  services: EntryServices,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  memory: RequestMemory,
): Promise<Result<void, RequestError>> {
  const startedAtMs = services.timer.nowMs();
  const headers = readClientHeaders(incoming);
  if (headers.isErr()) return err(headers.error);
  const team = services.teams().identify(headers.value);
  if (team.isErr()) return err(team.error);
  const [, name = "", rest = ""] = SERVICE_PATH.exec(incoming.url ?? "") ?? [];
  const { objects } = services.config();
  const found = findServiceRoute(objects, name);
  if (found.isErr()) return err(found.error);
  const { route } = found.value;
  const allowed = checkRouteTeam(route, team.value);
  if (allowed.isErr()) return err(allowed.error);
  const body = await readBody(incoming, memory, route.maxBodyBytes);
  if (body.isErr()) return err(body.error);
  const deadlineMs = headers.value["x-coltsfoot-deadline-ms"] ??
    route.deadlineMs;
  const clientSignal = createClientSignal(
    outgoing,
    services.timer,
    deadlineMs,
    // A claimed call continues after its client disconnects, so that its
    // response is recorded and a retry of the client can be served from it.
    !needsClaim({ route, idempotencyKey: headers.value["idempotency-key"] }),
  );
  memory.onEvicted(clientSignal.abort);
  const targets = services.blackboard.targets.read().values();
  const pool = choosePool(objects, found.value, targets);
  const { requestId } = memory;
  const context: RequestContext = {
    requestId,
    team: team.value,
    route,
    pool,
    chatKey: headers.value["x-coltsfoot-chat"] ?? requestId,
    isFollowUpTurn: false,
    sharedMessages: [],
    priority: headers.value["x-coltsfoot-priority"],
    deadlineAtMs: startedAtMs + deadlineMs,
    idempotencyKey: headers.value["idempotency-key"],
    method: incoming.method ?? "GET",
    path: rest.startsWith("/") ? rest : `/${rest}`,
    headers: createTargetHeaders(incoming, headers.value, team.value.name),
    body: body.value,
    isStream: false,
    signal: clientSignal.signal,
  };
  try {
    const relay = new BufferedRelay(outgoing, services.timer, memory);
    return memory.explain(await services.dispatcher.dispatch(context, relay));
  } finally {
    clientSignal.dispose();
  }
}

/** The headers forwarded to a service, without those of the connection. */
function createTargetHeaders(
  incoming: IncomingMessage,
  headers: ClientHeaders,
  team: string,
): Record<string, string> {
  const forwarded: Record<string, string> = { "x-coltsfoot-team": team };
  for (const name of ["content-type", "accept"]) {
    const value = incoming.headers[name];
    if (typeof value === "string") forwarded[name] = value;
  }
  const key = headers["idempotency-key"];
  if (key !== undefined) forwarded["idempotency-key"] = key;
  return forwarded;
}
