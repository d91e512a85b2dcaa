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
 * Handles one method. The returned value becomes the response of a call. An
 * exception is returned as an error response and reported as an event.
 */
export type PeerHandler<Params> = (
  params: Params,
  sender: PeerSender,
) => unknown;

/** The methods that this daemon serves, each with the schema of its input. */
export class PeerHandlers {
  readonly #server = new JSONRPCServer<PeerSender>({ errorListener: () => {} });
  readonly #onEvent: PeerEventListener;

  constructor(onEvent: PeerEventListener) {
    this.#onEvent = onEvent;
  }

  /**
   * Registers the handler of `method`. A second handler of a method throws,
   * because it would silently replace the first.
   */
  handle<Params>(
    method: string,
    schema: z.ZodType<Params>,
    handler: PeerHandler<Params>,
  ): void {
    if (this.#server.hasMethod(method)) {
      throw new Error(`peer method ${method} already has a handler`);
    }
    this.#server.addMethod(method, async (input: unknown, sender) => {
      const parsed = schema.safeParse(input);
      if (!parsed.success) {
        throw new JSONRPCErrorException(
          `invalid parameters of ${method}: ${parsed.error.issues[0]?.message}`,
          JSONRPCErrorCode.InvalidParams,
        );
      }
      return await this.#execute(method, () => handler(parsed.data, sender));
    });
  }

  /** Whether `method` has a handler. */
  has(method: string): boolean {
    return this.#server.hasMethod(method);
  }

  /** Handles a request; the response to a notification is null. */
  async receive(
    request: JSONRPCRequest,
    sender: PeerSender,
  ): Promise<JSONRPCResponse | null> {
    return await this.#server.receive(request, sender);
  }

  async #execute(method: string, action: () => unknown): Promise<unknown> {
    try {
      // JSON has no undefined, so a handler without a value returns null.
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
