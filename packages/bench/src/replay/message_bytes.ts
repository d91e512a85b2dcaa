import {
  encodeAnswer,
  encodePermitRequest,
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
    const params = encodePermitRequest(message.ask, message.extras);
    const id = message.ask.permitId;
    return { jsonrpc, method: PERMIT_REQUEST_METHOD, params, id };
  }
  if (message.kind === "answer") {
    const { answer, extras } = message;
    const target = answer.kind === "granted" ? answer.target : "";
    const request = { permitId: answer.permitId, target };
    const result = encodeAnswer(request, answer, extras);
    return { jsonrpc, id: message.answer.permitId, result };
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
    const { answer } = message;
    const permitIds = answer.kind === "collected"
      ? answer.startedPermitIds
      : null;
    return { jsonrpc, id: 1, result: [answer.epoch.number, permitIds] };
  }
  const params = [message.target, message.permitIds];
  return { jsonrpc, method: "a", params };
}
