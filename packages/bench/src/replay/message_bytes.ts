import {
  encodePermitRequest,
  encodePermitResponse,
  encodeReturns,
  PERMIT_REQUEST_METHOD,
  PERMIT_RETURN_METHOD,
  type PermitMessage,
} from "@coltsfootford/core";

/** Size of the message as one line of JSON-RPC, in bytes. */
export function countMessageBytes(message: PermitMessage): number {
  return JSON.stringify(toJsonRpc(message)).length + 1;
}

function toJsonRpc(message: PermitMessage): unknown {
  const jsonrpc = "2.0";
  if (message.kind === "ask") {
    const params = encodePermitRequest(message.request, message.extras);
    const id = message.request.permitId;
    return { jsonrpc, method: PERMIT_REQUEST_METHOD, params, id };
  }
  if (message.kind === "answer") {
    const { response, extras } = message;
    const target = response.kind === "granted" ? response.target : "";
    const request = { permitId: response.permitId, target };
    const result = encodePermitResponse(request, response, extras);
    return { jsonrpc, id: message.response.permitId, result };
  }
  if (message.kind === "returns") {
    const params = encodeReturns(message.extras);
    return { jsonrpc, method: PERMIT_RETURN_METHOD, params };
  }
  if (message.kind === "collect") {
    const { target, epoch } = message.request;
    return { jsonrpc, method: "c", params: [target, epoch.number], id: 1 };
  }
  if (message.kind === "collected") {
    const { response } = message;
    const permitIds = response.kind === "collected"
      ? response.startedPermitIds
      : null;
    return { jsonrpc, id: 1, result: [response.epoch.number, permitIds] };
  }
  const params = [message.target, message.permitIds];
  return { jsonrpc, method: "a", params };
}
