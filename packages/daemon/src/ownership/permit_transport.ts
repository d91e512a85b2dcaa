import {
  type CollectAnswer,
  type CollectRequest,
  decodeAnswer,
  decodePermitRequest,
  decodeReturns,
  encodeAnswer,
  encodePermitRequest,
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
  collectAnswerSchema,
  collectParamsSchema,
  decodeCollectAnswer,
  encodeCollectAnswer,
  NEWER_EPOCH_METHOD,
  newerEpochSchema,
  type WireCollectAnswer,
} from "./wire.ts";

/** Takes messages of other daemons. */
export type PermitReceiver = (from: string, message: PermitMessage) => void;

/** An ask of another daemon that waits for its answer. */
interface PendingPermitCall {
  readonly ask: PermitRequest;
  readonly resolve: (result: PermitRequestResult) => void;
}

/** Carries the messages of a `PermitNode` over the daemons' JSON-RPC. */
export class PermitTransport {
  readonly #peers: Peers;
  readonly #options: PermitNodeOptions;
  /** Asks of other daemons that wait for their answer, by holder and number. */
  readonly #openAsks = new Map<string, PendingPermitCall>();
  /** Set while a collect request is answered, which happens at once. */
  #onCollected: ((answer: CollectAnswer) => void) | undefined;

  constructor(peers: Peers, options: PermitNodeOptions) {
    this.#peers = peers;
    this.#options = options;
  }

  /** Hands what other daemons send to `receive`. Call it once. */
  listen(receive: PermitReceiver): void {
    const peers = this.#peers;
    peers.handle(
      PERMIT_REQUEST_METHOD,
      permitRequestParamsSchema,
      (params, { vm }) => {
        const { returns, reports, ...ask } = decodePermitRequest(params);
        return new Promise<PermitRequestResult>((resolve) => {
          this.#openAsks.set(nameAsk(vm, ask.permitId), { ask, resolve });
          receive(vm, { kind: "ask", ask, extras: { returns, reports } });
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
        receive(vm, { kind: "adopt", target, permitIds: permitIds });
      },
    );
    peers.handle(COLLECT_METHOD, collectParamsSchema, (params, { vm }) => {
      const [target, number] = params;
      const request = { target, epoch: { number, owner: vm } };
      return this.#answerCollect(vm, request, receive);
    });
    peers.handle(NEWER_EPOCH_METHOD, newerEpochSchema, (params, { vm }) => {
      const [target, number, owner] = params;
      const epoch = { number, owner: owner };
      const answer = { kind: "newer-epoch", target, epoch } as const;
      receive(vm, { kind: "collected", answer });
    });
  }

  /** Sends a message; what answers it goes to `receive`. */
  send(to: string, message: PermitMessage, receive: PermitReceiver): void {
    const peers = this.#peers;
    if (message.kind === "ask") {
      void this.#ask(to, message.ask, message.extras, receive);
    } else if (message.kind === "answer") {
      this.#answerAsk(to, message.answer, message.extras);
    } else if (message.kind === "returns") {
      peers.notify(to, PERMIT_RETURN_METHOD, encodeReturns(message.extras));
    } else if (message.kind === "adopt") {
      peers.notify(to, ADOPT_METHOD, [message.target, message.permitIds]);
    } else if (message.kind === "collect") {
      void this.#collect(to, message.request, receive);
    } else {
      this.#tellCollected(to, message.answer);
    }
  }

  async #ask(
    to: string,
    ask: PermitRequest,
    extras: PermitExtras,
    receive: PermitReceiver,
  ): Promise<void> {
    const { askTimeoutMs, book } = this.#options;
    const result = await this.#peers.call(
      to,
      PERMIT_REQUEST_METHOD,
      encodePermitRequest(ask, extras),
      permitRequestResultSchema,
      { timeoutMs: askTimeoutMs + longestWaitMs(ask) },
    );
    // Without an answer the node gives the ask up by its own timer.
    if (result.isErr()) return;
    const { answer, extras: answerExtras } = decodeAnswer(
      result.value,
      ask,
      to,
      book.startWithinMs,
    );
    receive(to, { kind: "answer", answer, extras: answerExtras });
  }

  #answerAsk(to: string, answer: PermitResponse, extras: PermitExtras): void {
    const name = nameAsk(to, answer.permitId);
    const open = this.#openAsks.get(name);
    this.#openAsks.delete(name);
    open?.resolve(encodeAnswer(open.ask, answer, extras));
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
      collectAnswerSchema,
      { timeoutMs: this.#options.book.collectTimeoutMs },
    );
    if (result.isErr()) return;
    const answer = decodeCollectAnswer(result.value, request);
    receive(to, { kind: "collected", answer });
  }

  #answerCollect(
    from: string,
    request: CollectRequest,
    receive: PermitReceiver,
  ): WireCollectAnswer {
    let wire: WireCollectAnswer = [1, []];
    this.#onCollected = (answer) => {
      wire = encodeCollectAnswer(answer);
    };
    receive(from, { kind: "collect", request });
    this.#onCollected = undefined;
    return wire;
  }

  #tellCollected(to: string, answer: CollectAnswer): void {
    if (this.#onCollected) return this.#onCollected(answer);
    const { target, epoch } = answer;
    const params = [target, epoch.number, epoch.owner];
    this.#peers.notify(to, NEWER_EPOCH_METHOD, params);
  }
}

function nameAsk(holder: string, permitId: number): string {
  return `${holder}/${permitId}`;
}
