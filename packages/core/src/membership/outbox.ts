import {
  CHANGES_METHOD,
  type Delta,
  HEARTBEAT_METHOD,
  type OutgoingMessage,
  type PullParams,
} from "./wire.ts";

/** The fields of a heartbeat that precede its changes. */
export type HeartbeatHeader = readonly [
  incarnation: number,
  zone: string,
  digest: number,
];

interface Envelope {
  header: HeartbeatHeader | undefined;
  /** By subject, so that only the latest change of each is sent. */
  readonly deltas: Map<string, Delta>;
}

/** Batches what is sent to each daemon into one message. */
export class Outbox {
  #envelopes = new Map<string, Envelope>();
  #others: OutgoingMessage[] = [];

  /** Queues a change for the next message to `to`. */
  addDelta(to: string, delta: Delta): void {
    const subject = delta[0] === "a"
      ? `a ${delta[1]} ${delta[4]}`
      : `${delta[0]} ${delta[1]}`;
    this.#envelopeOf(to).deltas.set(subject, delta);
  }

  /** Queues a heartbeat to `to`. */
  addHeartbeat(to: string, header: HeartbeatHeader): void {
    this.#envelopeOf(to).header = header;
  }

  /** Queues a pull of a zone's records from `to`, or of all zones for "". */
  addPull(to: string, params: PullParams): void {
    this.#others.push({ kind: "pull", to, zone: params[0], params });
  }

  /** Queues a reset of the connection to `to`. */
  addReset(to: string): void {
    this.#others.push({ kind: "reset", to });
  }

  /** Returns all queued messages and clears the queue. */
  drain(): OutgoingMessage[] {
    const messages = this.#others;
    for (const [to, { header, deltas }] of this.#envelopes) {
      const list = [...deltas.values()];
      messages.push(
        header
          ? {
            kind: "notify",
            to,
            method: HEARTBEAT_METHOD,
            params: [...header, list],
          }
          : { kind: "notify", to, method: CHANGES_METHOD, params: [list] },
      );
    }
    this.#envelopes = new Map();
    this.#others = [];
    return messages;
  }

  #envelopeOf(to: string): Envelope {
    const envelope = this.#envelopes.get(to) ??
      { header: undefined, deltas: new Map() };
    this.#envelopes.set(to, envelope);
    return envelope;
  }
}
