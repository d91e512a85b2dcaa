import { relayRecipients, type TimerService } from "@coltsfootford/core";
import type { JSONRPCServer } from "json-rpc-2.0";
import { z } from "zod";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import { callPeer } from "./call_peer.ts";

const ANNOUNCE_METHOD = "fleet.announce";
/** How long an announcement can arrive again over another path. */
const SEEN_TTL_MS = 30_000;
/** Limit of remembered announcements; the oldest are evicted first. */
const MAX_SEEN = 4_000;

const AnnouncementSchema = z.object({
  /** Name of the daemon that announces, at the root of the relay tree. */
  origin: z.string(),
  /** Unique together with the origin. */
  id: z.string(),
  topic: z.string(),
  body: z.unknown(),
});
type Announcement = z.infer<typeof AnnouncementSchema>;

/** Dependencies of a `FleetRelay`. */
export interface FleetRelayDependencies {
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  /** Daemons to contact while no peer is known. */
  readonly seeds: readonly PeerDaemon[];
  readonly rpc: JSONRPCServer;
  readonly timer: TimerService;
  readonly log: Logger;
}

type Subscriber = (body: unknown, origin: string) => void;

/**
 * Carries announcements from any daemon to all others, with or without the
 * store. Each daemon relays an announcement to a few others, which form a tree.
 * A daemon whose recipient can't be reached relays in its place.
 */
export class FleetRelay {
  readonly #dependencies: FleetRelayDependencies;
  readonly #subscribers = new Map<string, Subscriber>();
  readonly #seenAtMs = new Map<string, number>();
  /** Distinguishes the announcements of this process from those before it. */
  readonly #startedAt = Date.now().toString(36);
  #announced = 0;
  #sent = 0;
  #received = 0;

  constructor(dependencies: FleetRelayDependencies) {
    this.#dependencies = dependencies;
    dependencies.rpc.addMethod(ANNOUNCE_METHOD, (params: unknown) => {
      this.#onAnnounced(AnnouncementSchema.parse(params));
      return {};
    });
  }

  /** Calls `subscriber` for each announcement of others; one per topic. */
  subscribe<Body>(
    topic: string,
    schema: z.ZodType<Body>,
    subscriber: (body: Body, origin: string) => void,
  ): void {
    this.#subscribers.set(topic, (body, origin) => {
      const parsed = schema.safeParse(body);
      if (parsed.success) return subscriber(parsed.data, origin);
      const error = parsed.error.message;
      this.#dependencies.log.event("knowledgeRefused", { key: topic, error });
    });
  }

  /** Announces a fact to all other daemons. */
  announce(topic: string, body: unknown): void {
    this.#announced += 1;
    const announcement = {
      origin: this.#dependencies.self.name,
      id: `${this.#startedAt}-${this.#announced}`,
      topic,
      body,
    };
    this.#isNew(announcement);
    this.#relay(announcement);
  }

  /** Counts for the state dump. */
  dumpState(): unknown {
    return {
      announced: this.#announced,
      sent: this.#sent,
      received: this.#received,
    };
  }

  #onAnnounced(announcement: Announcement): void {
    // Daemons whose lists of peers differ may relay to one another.
    if (!this.#isNew(announcement)) return;
    this.#received += 1;
    this.#relay(announcement);
    const { topic, body, origin } = announcement;
    this.#subscribers.get(topic)?.(body, origin);
  }

  #isNew({ origin, id }: Announcement): boolean {
    const nowMs = this.#dependencies.timer.nowMs();
    const key = `${origin}/${id}`;
    if (this.#seenAtMs.has(key)) return false;
    this.#seenAtMs.set(key, nowMs);
    for (const [oldest, atMs] of this.#seenAtMs) {
      const isKept = nowMs - atMs < SEEN_TTL_MS &&
        this.#seenAtMs.size <= MAX_SEEN;
      if (isKept) break;
      this.#seenAtMs.delete(oldest);
    }
    return true;
  }

  #relay(announcement: Announcement): void {
    const { self, blackboard, seeds } = this.#dependencies;
    const known = blackboard.peers.read();
    if (known.length === 0) {
      for (const seed of seeds) void this.#send(seed, announcement);
      return;
    }
    const peers = new Map(known.map((peer) => [peer.name, peer]));
    this.#relayFor(self.name, peers, announcement);
  }

  /** Relays to the recipients of the named daemon. */
  #relayFor(
    name: string,
    peers: ReadonlyMap<string, PeerDaemon>,
    announcement: Announcement,
  ): void {
    const names = [...peers.keys(), this.#dependencies.self.name];
    const recipients = relayRecipients(names, announcement.origin, name);
    for (const recipient of recipients) {
      const peer = peers.get(recipient);
      if (peer) void this.#sendOrReplace(peer, peers, announcement);
      else this.#relayFor(recipient, peers, announcement);
    }
  }

  async #sendOrReplace(
    peer: PeerDaemon,
    peers: ReadonlyMap<string, PeerDaemon>,
    announcement: Announcement,
  ): Promise<void> {
    if (await this.#send(peer, announcement)) return;
    this.#relayFor(peer.name, peers, announcement);
  }

  async #send(peer: PeerDaemon, announcement: Announcement): Promise<boolean> {
    this.#sent += 1;
    try {
      await callPeer(peer, ANNOUNCE_METHOD, announcement);
      return true;
    } catch (cause) {
      const error = (cause as Error).message;
      this.#dependencies.log.event("peerUnreachable", {
        peer: peer.name,
        error,
      });
      return false;
    }
  }
}
