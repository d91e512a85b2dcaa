import {
  type Clearance,
  clearanceSchema,
  type CrashReport,
  crashReportSchema,
  orderByRendezvous,
  type QuarantineNotice,
  quarantineNoticeSchema,
} from "@coltsfootford/core";
import { z } from "zod";
import type { Blackboard, DaemonView } from "../blackboard/index.ts";
import type { Peers } from "../peers/index.ts";

const CRASH_METHOD = "xc";
const CLEAR_METHOD = "xl";
const QUARANTINE_METHOD = "xq";
/** How long an answer to the caller waits until the peers know of a crash. */
const SPREAD_TIMEOUT_MS = 300;
/** Daemons of each other zone that are told, and tell the rest of it. */
const RELAYS_PER_ZONE = 2;

/** A message with whether the receiver tells it on inside its zone. */
const envelope = <T extends z.ZodType>(body: T) =>
  z.strictObject({ body, relay: z.boolean() });
const ackSchema = z.unknown();

/** What is done with the messages of other daemons. */
export interface PoisonMessageHandlers {
  onCrash(report: CrashReport): void;
  onCleared(clearance: Clearance): void;
  onQuarantine(notice: QuarantineNotice): void;
}

/** Parts of the daemon that the messages go through. */
export interface PoisonPeersParts {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
}

/** Tells other daemons of crashes: the own zone first, others by relays. */
export class PoisonPeers {
  readonly #parts: PoisonPeersParts;

  constructor(parts: PoisonPeersParts) {
    this.#parts = parts;
  }

  handle(handlers: PoisonMessageHandlers): void {
    this.#handle(CRASH_METHOD, crashReportSchema, handlers.onCrash);
    this.#handle(CLEAR_METHOD, clearanceSchema, handlers.onCleared);
    this.#handle(
      QUARANTINE_METHOD,
      quarantineNoticeSchema,
      handlers.onQuarantine,
    );
  }

  /** Resolves once the live peers know, or after a short time. */
  spreadCrash(report: CrashReport): Promise<void> {
    return this.#spread(CRASH_METHOD, report, report.crashId);
  }

  spreadClearance(clearance: Clearance): Promise<void> {
    return this.#spread(CLEAR_METHOD, clearance, clearance.digests[0] ?? "");
  }

  spreadQuarantine(notice: QuarantineNotice): Promise<void> {
    return this.#spread(QUARANTINE_METHOD, notice, notice.digest);
  }

  #handle<T>(
    method: string,
    schema: z.ZodType<T>,
    handler: (body: T) => void,
  ): void {
    this.#parts.peers.handle(method, envelope(schema), ({ body, relay }) => {
      handler(body as T);
      if (!relay) return;
      const message = { body, relay: false };
      for (const daemon of this.#listOthers().own) {
        this.#parts.peers.notify(daemon.vm, method, message);
      }
    });
  }

  async #spread(method: string, body: unknown, key: string): Promise<void> {
    const { own, byOtherZone } = this.#listOthers();
    const told = own.map((daemon) => this.#tell(daemon, method, body, false));
    for (const daemons of byOtherZone.values()) {
      const names = daemons.map((daemon) => daemon.vm);
      const relays = orderByRendezvous(key, names).slice(0, RELAYS_PER_ZONE);
      for (const daemon of daemons) {
        if (!relays.includes(daemon.vm)) continue;
        told.push(this.#tell(daemon, method, body, true));
      }
    }
    await Promise.all(told);
  }

  async #tell(
    daemon: DaemonView,
    method: string,
    body: unknown,
    relay: boolean,
  ): Promise<void> {
    const message = { body, relay };
    const options = { timeoutMs: SPREAD_TIMEOUT_MS };
    await this.#parts.peers.call(
      daemon.vm,
      method,
      message,
      ackSchema,
      options,
    );
  }

  #listOthers(): {
    own: DaemonView[];
    byOtherZone: Map<string, DaemonView[]>;
  } {
    const { vm, availabilityZone, blackboard } = this.#parts;
    const own: DaemonView[] = [];
    const byOtherZone = new Map<string, DaemonView[]>();
    for (const daemon of blackboard.daemons.read().values()) {
      if (daemon.vm === vm || daemon.state === "dead") continue;
      if (daemon.availabilityZone === availabilityZone) {
        own.push(daemon);
        continue;
      }
      const zone = byOtherZone.get(daemon.availabilityZone) ?? [];
      byOtherZone.set(daemon.availabilityZone, [...zone, daemon]);
    }
    return { own, byOtherZone };
  }
}
