import {
  JSONRPCErrorCode,
  JSONRPCErrorException,
  type JSONRPCRequest,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import type { z } from "zod";
import type { PeerEventListener } from "./peer_event.ts";

/** The authenticated sender of a message. */
export interface PeerSender {
  readonly vm: string;
}

/**
 * Handles one method. The value becomes the answer of a call; what it throws
 * is answered as an error and reported as an event.
 */
export type PeerHandler<Params> = (
  params: Params,
  sender: PeerSender,
) => unknown;

/** The methods that this daemon answers, each with the schema of its input. */
export class PeerHandlers {
  readonly #server = new JSONRPCServer<PeerSender>({ errorListener: () => {} });
  readonly #onEvent: PeerEventListener;

  constructor(onEvent: PeerEventListener) {
    this.#onEvent = onEvent;
  }

  /**
   * Registers the handler of `method`. Each method has one handler; a second
   * one is a programming error, since it would silently replace the first.
   */
  handle<Params>(
    method: string,
    schema: z.ZodType<Params>,
    handler: PeerHandler<Params>,
  ): void {
    if (this.#server.hasMethod(method)) {
      throw new Error(`peer method ${method} has a handler already`);
    }
    this.#server.addMethod(method, async (input: unknown, sender) => {
      const parsed = schema.safeParse(input);
      if (!parsed.success) {
        throw new JSONRPCErrorException(
          `invalid parameters of ${method}: ${parsed.error.issues[0]?.message}`,
          JSONRPCErrorCode.InvalidParams,
        );
      }
      return await this.#run(method, () => handler(parsed.data, sender));
    });
  }

  /** Tells whether `method` has a handler. */
  has(method: string): boolean {
    return this.#server.hasMethod(method);
  }

  /** Handles a request; notifications give no response. */
  async receive(
    request: JSONRPCRequest,
    sender: PeerSender,
  ): Promise<JSONRPCResponse | null> {
    return await this.#server.receive(request, sender);
  }

  async #run(method: string, action: () => unknown): Promise<unknown> {
    try {
      // JSON has no undefined; a handler without a value answers null.
      return (await action()) ?? null;
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.#onEvent({
        kind: "handler-failed",
        direction: "in",
        peer: method,
        detail,
      });
      throw error;
    }
  }
}
