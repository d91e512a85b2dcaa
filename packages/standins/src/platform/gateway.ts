import { GatewayError } from "./gateway_error.ts";
import type { KeyValueStore } from "./key_value_store.ts";
import { Leases } from "./leases.ts";
import type {
  DeleteRangeRequest,
  PutRequest,
  TransactionRequest,
} from "./messages.ts";
import {
  createHeader,
  executeDeleteRange,
  executePut,
  executeTransaction,
  type GatewayObject,
} from "./transactions.ts";

/** Executes the calls of the etcd gateway on a store and its leases. */
export class Gateway {
  readonly #store: KeyValueStore;
  readonly #leases = new Leases((leaseId) => this.#deleteLeasedKeys(leaseId));
  readonly #maxValueBytes: number;

  constructor(store: KeyValueStore, maxValueBytes: number) {
    this.#store = store;
    this.#maxValueBytes = maxValueBytes;
  }

  put(request: PutRequest): GatewayObject {
    this.#checkPut(request);
    const put = this.#store.transact(() => executePut(this.#store, request));
    return { header: this.#header(), ...put };
  }

  deleteRange(request: DeleteRangeRequest): GatewayObject {
    const deleted = this.#store.transact(() =>
      executeDeleteRange(this.#store, request)
    );
    return { header: this.#header(), ...deleted };
  }

  transact(request: TransactionRequest): GatewayObject {
    for (const operation of [...request.success, ...request.failure]) {
      if (operation.request_put) this.#checkPut(operation.request_put);
    }
    return executeTransaction(this.#store, request);
  }

  grantLease(ttlSeconds: number, id: string): GatewayObject {
    const lease = this.#leases.grant(ttlSeconds, id);
    if (!lease) {
      throw new GatewayError(
        "invalid-argument",
        "etcdserver: lease already exists",
      );
    }
    const TTL = String(ttlSeconds);
    return { header: this.#header(), ID: lease.id, TTL };
  }

  revokeLease(id: string): GatewayObject {
    this.#requireLease(id);
    this.#leases.revoke(id);
    return { header: this.#header() };
  }

  describeLease(id: string): GatewayObject {
    const header = this.#header();
    const lease = this.#leases.get(id);
    if (!lease) return { header, ID: id, TTL: "-1" };
    return {
      header,
      ID: id,
      TTL: String(this.#leases.remainingSeconds(lease)),
      grantedTTL: String(lease.ttlSeconds),
    };
  }

  keepLeaseAlive(id: string): GatewayObject {
    const header = this.#header();
    const lease = this.#leases.keepAlive(id);
    if (!lease) return { result: { header, ID: id } };
    return { result: { header, ID: id, TTL: String(lease.ttlSeconds) } };
  }

  /** Stops the timers of all leases. */
  close(): void {
    this.#leases.clear();
  }

  #header(): GatewayObject {
    return createHeader(this.#store.revision);
  }

  #checkPut(request: PutRequest): void {
    if (request.value.length > this.#maxValueBytes) {
      throw new GatewayError(
        "invalid-argument",
        "etcdserver: request is too large",
      );
    }
    if (request.lease !== "0") this.#requireLease(request.lease);
  }

  #requireLease(id: string): void {
    if (this.#leases.get(id)) return;
    throw new GatewayError(
      "not-found",
      "etcdserver: requested lease not found",
    );
  }

  #deleteLeasedKeys(leaseId: string): void {
    const leased = this.#store.listByLease(leaseId);
    this.#store.transact(() => {
      for (const { key } of leased) {
        this.#store.deleteRange({ key, rangeEnd: Buffer.alloc(0) });
      }
    });
  }
}
