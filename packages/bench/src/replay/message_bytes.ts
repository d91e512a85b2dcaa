import {
  encodeAnswer,
  encodeAsk,
  encodeReturns,
  PERMIT_ASK_METHOD,
  PERMIT_RETURN_METHOD,
  type PermitMessage,
} from "@coltsfootford/core";

/** Bytes of the message as one line of JSON-RPC. */
export function countMessageBytes(message: PermitMessage): number {
  return JSON.stringify(toJsonRpc(message)).length + 1;
}

function toJsonRpc(message: PermitMessage): unknown {
  const jsonrpc = "2.0";
  if (message.kind === "ask") {
    const params = encodeAsk(message.ask, message.extras);
    const id = message.ask.askId;
    return { jsonrpc, method: PERMIT_ASK_METHOD, params, id };
  }
  if (message.kind === "answer") {
    const { answer, extras } = message;
    const target = answer.kind === "granted" ? answer.target : "";
    const ask = { askId: answer.askId, target };
    const result = encodeAnswer(ask, answer, extras);
    return { jsonrpc, id: message.answer.askId, result };
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
    const askIds = answer.kind === "collected" ? answer.startedAskIds : null;
    return { jsonrpc, id: 1, result: [answer.epoch.number, askIds] };
  }
  const params = [message.target, message.askIds];
  return { jsonrpc, method: "a", params };
}
