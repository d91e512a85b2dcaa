import type { TimerService } from "@coltsfootford/core";
import type { Result } from "neverthrow";
import type { z } from "zod";
import { Keyring, type PeerKey } from "./keyring.ts";
import type { PeerAddress } from "./peer_connection.ts";
import type { PeerError } from "./peer_error.ts";
import type { PeerEvent, PeerEventListener } from "./peer_event.ts";
import { type PeerHandler, PeerHandlers } from "./peer_handlers.ts";
import { type CallOptions, PeerPool } from "./peer_pool.ts";
import { PeerServer } from "./peer_server.ts";
import { TrafficCounter, type TrafficSnapshot } from "./traffic_counter.ts";

/** The dependencies of `Peers`. */
export interface PeersDependencies {
  /** Name of this daemon. */
  readonly vm: string;
  readonly timer: TimerService;
  /** Valid shared keys, the preferred one first. */
  readonly keys: readonly PeerKey[];
}

/** Sends and receives all messages between this daemon and other daemons. */
export class Peers {
  readonly #listeners: PeerEventListener[] = [];
  readonly #keyring: Keyring;
  readonly #traffic = new TrafficCounter();
  readonly #handlers: PeerHandlers;
  readonly #pool: PeerPool;
  readonly #server: PeerServer;
  #port = 0;

  constructor(dependencies: PeersDependencies) {
    const onEvent = (event: PeerEvent) => this.#publish(event);
    this.#keyring = new Keyring(dependencies.keys);
    this.#handlers = new PeerHandlers(onEvent);
    const sharedDependencies = {
      vm: dependencies.vm,
      timer: dependencies.timer,
      keyring: this.#keyring,
      traffic: this.#traffic,
      onEvent,
    };
    this.#pool = new PeerPool(sharedDependencies);
    this.#server = new PeerServer({
      ...sharedDependencies,
      handlers: this.#handlers,
    });
  }

  /** Calls `listener` with every event of the connections. */
  onEvent(listener: PeerEventListener): void {
    this.#listeners.push(listener);
  }

  /** Registers the handler of `method`; see `PeerHandlers.handle`. */
  handle<Params>(
    method: string,
    schema: z.ZodType<Params>,
    handler: PeerHandler<Params>,
  ): void {
    this.#handlers.handle(method, schema, handler);
  }

  /** Sends a notification, which has no response and may be lost. */
  notify(vm: string, method: string, params: unknown): void {
    this.#pool.notify(vm, method, params);
  }

  /** Sends a request and validates the response against `responseSchema`. */
  call<Response>(
    vm: string,
    method: string,
    params: unknown,
    responseSchema: z.ZodType<Response>,
    options: CallOptions = {},
  ): Promise<Result<Response, PeerError>> {
    return this.#pool.call(vm, method, params, responseSchema, options);
  }

  /** Adds a peer, or changes its address. */
  setPeer(vm: string, address: PeerAddress): void {
    this.#pool.setPeer(vm, address);
  }

  /** Removes a peer and drops the connections in both directions. */
  removePeer(vm: string): void {
    this.#pool.removePeer(vm);
    this.#server.dropPeer(vm);
  }

  /** Drops the outgoing connection to `vm`; the next message opens another. */
  reset(vm: string, detail: string): void {
    this.#pool.reset(vm, detail);
  }

  /** Names of the peers whose address is known. */
  knownNames(): string[] {
    return this.#pool.names();
  }

  /** Names of the peers to which an authenticated connection is open. */
  connectedNames(): string[] {
    return this.#pool.connectedNames();
  }

  /** Replaces the shared keys that authenticate new connections. */
  replaceKeys(keys: readonly PeerKey[]): void {
    this.#keyring.replace(keys);
  }

  /** Bytes on the sockets and by method since the start. */
  traffic(): TrafficSnapshot {
    return this.#traffic.snapshot();
  }

  /** The port for other daemons; zero before `listen`. */
  get port(): number {
    return this.#port;
  }

  /** Starts to listen and returns the bound address. */
  async listen(address: PeerAddress): Promise<PeerAddress> {
    const bound = await this.#server.listen(address);
    this.#port = bound.port;
    return bound;
  }

  /** Stops listening and drops every connection. */
  async close(): Promise<void> {
    this.#pool.close();
    await this.#server.close();
  }

  #publish(event: PeerEvent): void {
    for (const listener of this.#listeners) listener(event);
  }
}
