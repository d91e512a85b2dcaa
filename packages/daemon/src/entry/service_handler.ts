import type { IncomingMessage, ServerResponse } from "node:http";
import { err, type Result } from "neverthrow";
import { needsClaim } from "../claims/index.ts";
import { createClientSignal } from "./client_signal.ts";
import type { EntryServices } from "./entry_server.ts";
import { checkRouteTeam, choosePool, findServiceRoute } from "./find_route.ts";
import { readBody } from "./read_body.ts";
import { type ClientHeaders, readClientHeaders } from "./read_headers.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestContext } from "./request_context.ts";
import { WholeRelay } from "./whole_relay.ts";

const SERVICE_PATH = /^\/services\/([^/?]+)(.*)$/;

/** Serves one call to a plain service, found by the name of its route. */
export async function serviceHandler(
  services: EntryServices,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<Result<void, Refusal>> {
  const startedMs = services.timer.nowMs();
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
  const body = await readBody(incoming, route.maxBodyBytes);
  if (body.isErr()) return err(body.error);
  const deadlineMs = headers.value["x-coltsfoot-deadline-ms"] ??
    route.deadlineMs;
  const caller = createClientSignal(
    outgoing,
    services.timer,
    deadlineMs,
    // A claimed call that was sent runs on without its caller, so that its
    // answer is recorded for the resend.
    !needsClaim({ route, idempotencyKey: headers.value["idempotency-key"] }),
  );
  const targets = services.blackboard.targets.read().values();
  const pool = choosePool(objects, found.value, targets);
  const requestId = services.nextRequestId();
  const context: RequestContext = {
    requestId,
    team: team.value,
    route,
    pool,
    chatKey: headers.value["x-coltsfoot-chat"] ?? requestId,
    isReturning: false,
    priority: headers.value["x-coltsfoot-priority"],
    deadlineAtMs: startedMs + deadlineMs,
    idempotencyKey: headers.value["idempotency-key"],
    method: incoming.method ?? "GET",
    path: rest.startsWith("/") ? rest : `/${rest}`,
    headers: targetHeaders(incoming, headers.value, team.value.name),
    body: body.value,
    isStream: false,
    signal: caller.signal,
  };
  try {
    const relay = new WholeRelay(outgoing);
    return await services.dispatcher.dispatch(context, relay);
  } finally {
    caller.dispose();
  }
}

/** The headers that a service gets; those of the connection stay behind. */
function targetHeaders(
  incoming: IncomingMessage,
  headers: ClientHeaders,
  team: string,
): Record<string, string> {
  const passed: Record<string, string> = { "x-coltsfoot-team": team };
  for (const name of ["content-type", "accept"]) {
    const value = incoming.headers[name];
    if (typeof value === "string") passed[name] = value;
  }
  const key = headers["idempotency-key"];
  if (key !== undefined) passed["idempotency-key"] = key;
  return passed;
}
