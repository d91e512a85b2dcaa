import {
  type Delta,
  HEARTBEAT_METHOD,
  type OutgoingMessage,
  type PullParams,
  SPREAD_METHOD,
} from "./wire.ts";

/** The part of a heartbeat that comes before its changes. */
export type HeartbeatHead = readonly [
  incarnation: number,
  zone: string,
  digest: number,
];

interface Envelope {
  head: HeartbeatHead | undefined;
  /** By subject, so that only the last change of each is sent. */
  readonly deltas: Map<string, Delta>;
}

/** Gathers what goes to each daemon, so that it goes in one message. */
export class Outbox {
  #envelopes = new Map<string, Envelope>();
  #others: OutgoingMessage[] = [];

  /** Sends a change with the next message to `to`. */
  addDelta(to: string, delta: Delta): void {
    const subject = delta[0] === "a"
      ? `a ${delta[1]} ${delta[4]}`
      : `${delta[0]} ${delta[1]}`;
    this.#envelopeOf(to).deltas.set(subject, delta);
  }

  /** Sends a heartbeat to `to`. */
  addHeartbeat(to: string, head: HeartbeatHead): void {
    this.#envelopeOf(to).head = head;
  }

  /** Asks `to` for the records of a zone, or of all zones for "". */
  addPull(to: string, params: PullParams): void {
    this.#others.push({ kind: "pull", to, zone: params[0], params });
  }

  /** Has the connection to `to` opened anew. */
  addReset(to: string): void {
    this.#others.push({ kind: "reset", to });
  }

  /** Takes out everything that was gathered. */
  take(): OutgoingMessage[] {
    const messages = this.#others;
    for (const [to, { head, deltas }] of this.#envelopes) {
      const list = [...deltas.values()];
      messages.push(
        head
          ? {
            kind: "notify",
            to,
            method: HEARTBEAT_METHOD,
            params: [...head, list],
          }
          : { kind: "notify", to, method: SPREAD_METHOD, params: [list] },
      );
    }
    this.#envelopes = new Map();
    this.#others = [];
    return messages;
  }

  #envelopeOf(to: string): Envelope {
    const envelope = this.#envelopes.get(to) ??
      { head: undefined, deltas: new Map() };
    this.#envelopes.set(to, envelope);
    return envelope;
  }
}
