import {
  type CollectRequest,
  type CollectResponse,
  decodePermitRequest,
  decodePermitResponse,
  decodeReturns,
  encodePermitRequest,
  encodePermitResponse,
  encodeReturns,
  longestWaitMs,
  PERMIT_REQUEST_METHOD,
  PERMIT_RETURN_METHOD,
  type PermitExtras,
  type PermitMessage,
  type PermitNodeOptions,
  type PermitRequest,
  permitRequestParamsSchema,
  type PermitRequestResult,
  permitRequestResultSchema,
  type PermitResponse,
  permitReturnParamsSchema,
} from "@coltsfootford/core";
import type { Peers } from "../peers/index.ts";
import {
  ADOPT_METHOD,
  adoptParamsSchema,
  COLLECT_METHOD,
  collectParamsSchema,
  collectResponseSchema,
  decodeCollectResponse,
  encodeCollectResponse,
  NEWER_EPOCH_METHOD,
  newerEpochSchema,
  type WireCollectResponse,
} from "./takeover_messages.ts";

/** Receives the messages of other daemons. */
export type PermitReceiver = (from: string, message: PermitMessage) => void;

/** A permit request of another daemon that waits for its response. */
interface PendingPermitCall {
  readonly request: PermitRequest;
  readonly resolve: (result: PermitRequestResult) => void;
}

/** Transports the messages of a `PermitNode` over the daemons' JSON-RPC. */
export class PermitTransport {
  readonly #peers: Peers;
  readonly #options: PermitNodeOptions;
  /** Pending permit requests of other daemons, by holder and permit id. */
  readonly #pendingCalls = new Map<string, PendingPermitCall>();
  /** Set while a collect request is handled; its response is synchronous. */
  #onCollectResponse: ((response: CollectResponse) => void) | undefined;

  constructor(peers: Peers, options: PermitNodeOptions) {
    this.#peers = peers;
    this.#options = options;
  }

  /** Passes the messages of other daemons to `receive`. Call this once. */
  listen(receive: PermitReceiver): void {
    const peers = this.#peers;
    peers.handle(
      PERMIT_REQUEST_METHOD,
      permitRequestParamsSchema,
      (params, { vm }) => {
        const { returns, reports, ...request } = decodePermitRequest(params);
        return new Promise<PermitRequestResult>((resolve) => {
          this.#pendingCalls.set(createPermitKey(vm, request.permitId), {
            request,
            resolve,
          });
          receive(vm, {
            kind: "ask",
            request,
            extras: { returns, reports },
          });
        });
      },
    );
    peers.handle(
      PERMIT_RETURN_METHOD,
      permitReturnParamsSchema,
      (params, { vm }) => {
        receive(vm, { kind: "returns", extras: decodeReturns(params) });
      },
    );
    peers.handle(
      ADOPT_METHOD,
      adoptParamsSchema,
      ([target, permitIds], { vm }) => {
        receive(vm, { kind: "adopt", target, permitIds });
      },
    );
    peers.handle(COLLECT_METHOD, collectParamsSchema, (params, { vm }) => {
      const [target, number] = params;
      const request = { target, epoch: { number, owner: vm } };
      return this.#respondToCollect(vm, request, receive);
    });
    peers.handle(NEWER_EPOCH_METHOD, newerEpochSchema, (params, { vm }) => {
      const [target, number, owner] = params;
      const epoch = { number, owner };
      const response = { kind: "newer-epoch", target, epoch } as const;
      receive(vm, { kind: "collected", response });
    });
  }

  /** Sends a message and passes the response, if any, to `receive`. */
  send(to: string, message: PermitMessage, receive: PermitReceiver): void {
    const peers = this.#peers;
    if (message.kind === "ask") {
      void this.#requestPermit(to, message.request, message.extras, receive);
    } else if (message.kind === "answer") {
      this.#respondToRequest(to, message.response, message.extras);
    } else if (message.kind === "returns") {
      peers.notify(to, PERMIT_RETURN_METHOD, encodeReturns(message.extras));
    } else if (message.kind === "adopt") {
      peers.notify(to, ADOPT_METHOD, [message.target, message.permitIds]);
    } else if (message.kind === "collect") {
      void this.#collect(to, message.request, receive);
    } else {
      this.#sendCollectResponse(to, message.response);
    }
  }

  async #requestPermit(
    to: string,
    request: PermitRequest,
    extras: PermitExtras,
    receive: PermitReceiver,
  ): Promise<void> {
    const { requestTimeoutMs, ownedTargets } = this.#options;
    const result = await this.#peers.call(
      to,
      PERMIT_REQUEST_METHOD,
      encodePermitRequest(request, extras),
      permitRequestResultSchema,
      { timeoutMs: requestTimeoutMs + longestWaitMs(request) },
    );
    // Without a response, the node abandons the request by its own timer.
    if (result.isErr()) return;
    const { response, extras: responseExtras } = decodePermitResponse(
      result.value,
      request,
      to,
      ownedTargets.startWithinMs,
    );
    receive(to, { kind: "answer", response, extras: responseExtras });
  }

  #respondToRequest(
    to: string,
    response: PermitResponse,
    extras: PermitExtras,
  ): void {
    const key = createPermitKey(to, response.permitId);
    const pending = this.#pendingCalls.get(key);
    this.#pendingCalls.delete(key);
    pending?.resolve(encodePermitResponse(pending.request, response, extras));
  }

  async #collect(
    to: string,
    request: CollectRequest,
    receive: PermitReceiver,
  ): Promise<void> {
    const result = await this.#peers.call(
      to,
      COLLECT_METHOD,
      [request.target, request.epoch.number],
      collectResponseSchema,
      { timeoutMs: this.#options.ownedTargets.collectTimeoutMs },
    );
    if (result.isErr()) return;
    const response = decodeCollectResponse(result.value, request);
    receive(to, { kind: "collected", response });
  }

  #respondToCollect(
    from: string,
    request: CollectRequest,
    receive: PermitReceiver,
  ): WireCollectResponse {
    let wire: WireCollectResponse = [1, []];
    this.#onCollectResponse = (response) => {
      wire = encodeCollectResponse(response);
    };
    receive(from, { kind: "collect", request });
    this.#onCollectResponse = undefined;
    return wire;
  }

  #sendCollectResponse(to: string, response: CollectResponse): void {
    if (this.#onCollectResponse) return this.#onCollectResponse(response);
    const { target, epoch } = response;
    const params = [target, epoch.number, epoch.owner];
    this.#peers.notify(to, NEWER_EPOCH_METHOD, params);
  }
}

function createPermitKey(holder: string, permitId: number): string {
  return `${holder}/${permitId}`;
}
