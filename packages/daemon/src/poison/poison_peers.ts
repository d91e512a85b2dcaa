import {
  type Clearance,
  clearanceSchema,
  type CrashReport,
  crashReportSchema,
  type MessageCrashReport,
  messageCrashReportSchema,
  orderByRendezvous,
  type QuarantinedMessages,
  quarantinedMessagesSchema,
  type QuarantineNotice,
  quarantineNoticeSchema,
  type SoundMessage,
  soundMessageSchema,
} from "@coltsfootford/core";
import { z } from "zod";
import type { Blackboard, DaemonView } from "../blackboard/index.ts";
import type { Peers } from "../peers/index.ts";

const CRASH_METHOD = "xc";
const CLEAR_METHOD = "xl";
const QUARANTINE_METHOD = "xq";
const MESSAGE_CRASH_METHOD = "xmc";
const SOUND_MESSAGE_METHOD = "xms";
const QUARANTINED_MESSAGES_METHOD = "xmq";
/** Longest delay of a client's response while peers are notified of a crash. */
const BROADCAST_TIMEOUT_MS = 300;
/** Daemons of each other zone that are notified and relay within their zone. */
const RELAYS_PER_ZONE = 2;

/** A message; `relay` is true if the receiver forwards it within its zone. */
const envelope = <T extends z.ZodType>(body: T) =>
  z.strictObject({ body, relay: z.boolean() });
const ackSchema = z.unknown();

/** Handlers of the messages of other daemons. */
export interface PoisonMessageHandlers {
  onCrash(report: CrashReport): void;
  onCleared(clearance: Clearance): void;
  onQuarantine(notice: QuarantineNotice): void;
}

/** Handlers of what other daemons tell of single messages of chats. */
export interface MessageReportHandlers {
  onCrash(report: MessageCrashReport): void;
  onSound(proof: SoundMessage): void;
  onQuarantine(quarantined: QuarantinedMessages): void;
}

/** The dependencies of `PoisonPeers`. */
export interface PoisonPeersDependencies {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
}

/**
 * Broadcasts crashes to other daemons: directly to those of this daemon's zone,
 * then through relays to other zones.
 */
export class PoisonPeers {
  readonly #dependencies: PoisonPeersDependencies;

  constructor(dependencies: PoisonPeersDependencies) {
    this.#dependencies = dependencies;
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

  handleMessages(handlers: MessageReportHandlers): void {
    this.#handle(
      MESSAGE_CRASH_METHOD,
      messageCrashReportSchema,
      handlers.onCrash,
    );
    this.#handle(SOUND_MESSAGE_METHOD, soundMessageSchema, handlers.onSound);
    this.#handle(
      QUARANTINED_MESSAGES_METHOD,
      quarantinedMessagesSchema,
      handlers.onQuarantine,
    );
  }

  /** Resolves once the live peers are notified, or after a short timeout. */
  broadcastMessageCrash(report: MessageCrashReport): Promise<void> {
    return this.#broadcast(MESSAGE_CRASH_METHOD, report, report.target);
  }

  broadcastSoundMessage(proof: SoundMessage): Promise<void> {
    return this.#broadcast(SOUND_MESSAGE_METHOD, proof, proof.part);
  }

  /** Tells one daemon of messages that are quarantined. */
  notifyMessageQuarantine(vm: string, quarantined: QuarantinedMessages): void {
    const message = { body: quarantined, relay: false };
    this.#dependencies.peers.notify(vm, QUARANTINED_MESSAGES_METHOD, message);
  }

  /** Resolves once the live peers are notified, or after a short timeout. */
  broadcastCrash(report: CrashReport): Promise<void> {
    return this.#broadcast(CRASH_METHOD, report, report.crashId);
  }

  broadcastClearance(clearance: Clearance): Promise<void> {
    return this.#broadcast(CLEAR_METHOD, clearance, clearance.digests[0] ?? "");
  }

  broadcastQuarantine(notice: QuarantineNotice): Promise<void> {
    return this.#broadcast(QUARANTINE_METHOD, notice, notice.digest);
  }

  #handle<T>(
    method: string,
    schema: z.ZodType<T>,
    handler: (body: T) => void,
  ): void {
    this.#dependencies.peers.handle(
      method,
      envelope(schema),
      ({ body, relay }) => {
        handler(body as T);
        if (!relay) return;
        const message = { body, relay: false };
        for (const daemon of this.#listPeers().ownZone) {
          this.#dependencies.peers.notify(daemon.vm, method, message);
        }
      },
    );
  }

  async #broadcast(method: string, body: unknown, key: string): Promise<void> {
    const { ownZone, otherZones } = this.#listPeers();
    const sends = ownZone.map((daemon) =>
      this.#send(daemon, method, body, false)
    );
    for (const daemons of otherZones.values()) {
      const names = daemons.map((daemon) => daemon.vm);
      const relays = orderByRendezvous(key, names).slice(0, RELAYS_PER_ZONE);
      for (const daemon of daemons) {
        if (!relays.includes(daemon.vm)) continue;
        sends.push(this.#send(daemon, method, body, true));
      }
    }
    await Promise.all(sends);
  }

  async #send(
    daemon: DaemonView,
    method: string,
    body: unknown,
    relay: boolean,
  ): Promise<void> {
    const message = { body, relay };
    const options = { timeoutMs: BROADCAST_TIMEOUT_MS };
    await this.#dependencies.peers.call(
      daemon.vm,
      method,
      message,
      ackSchema,
      options,
    );
  }

  #listPeers(): {
    ownZone: DaemonView[];
    otherZones: Map<string, DaemonView[]>;
  } {
    const { vm, availabilityZone, blackboard } = this.#dependencies;
    const ownZone: DaemonView[] = [];
    const otherZones = new Map<string, DaemonView[]>();
    for (const daemon of blackboard.daemons.read().values()) {
      if (daemon.vm === vm || daemon.state === "dead") continue;
      if (daemon.availabilityZone === availabilityZone) {
        ownZone.push(daemon);
        continue;
      }
      const zone = otherZones.get(daemon.availabilityZone) ?? [];
      otherZones.set(daemon.availabilityZone, [...zone, daemon]);
    }
    return { ownZone, otherZones };
  }
}
