import type { IncomingMessage, ServerResponse } from "node:http";
import { err, type Result } from "neverthrow";
import { createClientSignal } from "./client_signal.ts";
import { summarizeChat } from "./chat_body.ts";
import type { EntryServices } from "./entry_server.ts";
import {
  checkRouteTeam,
  findChatRoute,
  findLargestChatBody,
} from "./find_route.ts";
import { readBody } from "./read_body.ts";
import { readClientHeaders } from "./read_headers.ts";
import { createRequestError, type RequestError } from "./request_error.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestMemory } from "./request_memory.ts";
import { StreamRelay } from "./stream_relay.ts";
import { BufferedRelay } from "./buffered_relay.ts";

const CHAT_PATH = "/v1/chat/completions";

/**
 * Handles a chat completion request in the format of the OpenAI API. Its caller
 * releases `memory`.
 */
export async function chatHandler(
  services: EntryServices,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  memory: RequestMemory,
): Promise<Result<void, RequestError>> {
  const startedAtMs = services.timer.nowMs();
  if (incoming.method !== "POST") {
    const message = `method ${incoming.method} is not served here; use POST`;
    return err(createRequestError(405, "method_not_allowed", message));
  }
  const headers = readClientHeaders(incoming);
  if (headers.isErr()) return err(headers.error);
  const team = services.teams().identify(headers.value);
  if (team.isErr()) return err(team.error);
  const { objects } = services.config();
  const maxBytes = findLargestChatBody(objects);
  const body = await readBody(incoming, memory, maxBytes);
  if (body.isErr()) return err(body.error);
  const summary = summarizeChat(
    body.value,
    headers.value["x-coltsfoot-chat"],
  );
  if (summary.isErr()) return err(summary.error);
  const { model, chatKey, isStream } = summary.value;
  const found = findChatRoute(services.config().objects, model);
  if (found.isErr()) return err(found.error);
  const { route, pool } = found.value;
  const allowed = checkRouteTeam(route, team.value);
  if (allowed.isErr()) return err(allowed.error);
  if (body.value.length > route.maxBodyBytes) {
    const message =
      `the body is larger than ${route.maxBodyBytes} bytes, the limit of route ${route.name}; shorten it`;
    return err(
      createRequestError(413, "body_too_large", message, { param: "body" }),
    );
  }
  const deadlineMs = headers.value["x-coltsfoot-deadline-ms"] ??
    route.deadlineMs;
  const clientSignal = createClientSignal(outgoing, services.timer, deadlineMs);
  memory.onEvicted(clientSignal.abort);
  const { requestId } = memory;
  const priority = headers.value["x-coltsfoot-priority"];
  const context: RequestContext = {
    requestId,
    team: team.value,
    route,
    pool,
    chatKey,
    isFollowUpTurn: summary.value.isFollowUpTurn,
    sharedMessages: summary.value.sharedMessages,
    priority,
    deadlineAtMs: startedAtMs + deadlineMs,
    idempotencyKey: headers.value["idempotency-key"],
    method: "POST",
    path: CHAT_PATH,
    headers: {
      "content-type": "application/json",
      "x-coltsfoot-team": team.value.name,
      "x-coltsfoot-chat": chatKey,
      "x-coltsfoot-priority": String(priority),
    },
    body: body.value,
    isStream,
    signal: clientSignal.signal,
  };
  const relay = context.isStream
    ? new StreamRelay(outgoing, services.timer, memory, () => {
      const elapsedMs = services.timer.nowMs() - startedAtMs;
      services.metrics.recordMs("first_token_ms", elapsedMs);
    })
    : new BufferedRelay(outgoing, services.timer, memory);
  try {
    return memory.explain(await services.dispatcher.dispatch(context, relay));
  } finally {
    clientSignal.dispose();
  }
}
