import {
  OverloadAnnouncements,
  type Placement,
  relayRecipients,
  type ReportedLoad,
  type TimerService,
  totalRequests,
} from "@coltsfootford/core";
import type { JSONRPCServer } from "json-rpc-2.0";
import { z } from "zod";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type { Metrics } from "../../metrics/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import type { LoadObserver } from "../forwarding_types.ts";
import type { TargetPool } from "../target_pool.ts";
import { callPeer } from "./call_peer.ts";

const ANNOUNCE_METHOD = "load.overloaded";

const AnnouncementSchema = z.object({
  /** Name of the daemon that received the report. */
  origin: z.string(),
  /** Incarnation of the target. */
  target: z.string(),
  requests: z.number().int().nonnegative(),
});
type Announcement = z.infer<typeof AnnouncementSchema>;

/** Dependencies of an `OverloadController`. */
export interface OverloadDependencies {
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  readonly pool: TargetPool;
  readonly rpc: JSONRPCServer;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * Tells all daemons of targets whose reported load is far above the load bound.
 * Each daemon relays an announcement to a few others. A lost announcement needs
 * no repetition, since the next report of the target leads to another one.
 */
export class OverloadController extends Controller implements LoadObserver {
  override readonly name = "overload";
  readonly #dependencies: OverloadDependencies;
  readonly #announcements = new OverloadAnnouncements();
  #sent = 0;
  #received = 0;

  constructor(dependencies: OverloadDependencies) {
    super();
    this.#dependencies = dependencies;
    dependencies.rpc.addMethod(ANNOUNCE_METHOD, (params: unknown) => {
      this.#onAnnounced(AnnouncementSchema.parse(params));
      return {};
    });
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { sent: this.#sent, received: this.#received };
  }

  onReportedLoad(
    { candidate, loadBound, reason }: Placement,
    load: ReportedLoad,
  ): void {
    const { self, timer, log, metrics } = this.#dependencies;
    const requests = totalRequests(load);
    metrics.count("loads_reported_total");
    if (requests <= loadBound) return;
    metrics.count(`loads_above_bound_${reason.replace("-", "_")}_total`);
    const { incarnation } = candidate.target;
    const nowMs = timer.nowMs();
    const announcements = this.#announcements;
    if (!announcements.isNews(incarnation, requests, loadBound, nowMs)) return;
    log.event("overloadAnnounced", {
      target: incarnation,
      load: requests,
      loadBound: Math.round(loadBound),
    });
    announcements.recordAnnounced(incarnation, nowMs);
    this.#relay({ origin: self.name, target: incarnation, requests });
  }

  #onAnnounced(announcement: Announcement): void {
    const { pool, timer, log } = this.#dependencies;
    const { origin, target, requests } = announcement;
    const nowMs = timer.nowMs();
    // Daemons whose lists of peers differ may relay to one another.
    if (this.#announcements.isRecent(target, nowMs)) return;
    this.#received += 1;
    this.#announcements.recordAnnounced(target, nowMs);
    pool.find(target)?.record.recordAnnouncedLoad(requests, nowMs);
    log.event("overloadLearned", { target, load: requests, peer: origin });
    this.#relay(announcement);
  }

  #relay(announcement: Announcement): void {
    const { self, blackboard } = this.#dependencies;
    const peers = new Map(
      blackboard.peers.read().map((peer) => [peer.name, peer]),
    );
    const names = [...peers.keys()];
    const { origin } = announcement;
    for (const name of relayRecipients(names, origin, self.name)) {
      const peer = peers.get(name);
      if (peer) void this.#send(peer, announcement);
    }
  }

  async #send(peer: PeerDaemon, announcement: Announcement): Promise<void> {
    this.#sent += 1;
    try {
      await callPeer(peer, ANNOUNCE_METHOD, announcement);
    } catch (cause) {
      const error = (cause as Error).message;
      this.#dependencies.log.event("peerUnreachable", {
        peer: peer.name,
        error,
      });
    }
  }
}
