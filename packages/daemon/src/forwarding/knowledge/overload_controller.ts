import {
  isLoadReporter,
  OverloadAnnouncements,
  type Placement,
  type ReportedLoad,
  type TimerService,
  totalRequests,
} from "@coltsfootford/core";
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
import type { FleetRelay } from "./fleet_relay.ts";

const TOPIC = "target.overloaded";

const AnnouncementSchema = z.object({
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
  readonly relay: FleetRelay;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * Tells all daemons of targets whose reported load is far above the load bound.
 * A lost announcement needs no repetition, since the next report of the target
 * leads to another one.
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
    dependencies.relay.subscribe(
      TOPIC,
      AnnouncementSchema,
      (announcement, origin) => this.#onAnnounced(announcement, origin),
    );
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
    const { relay, timer, log, metrics } = this.#dependencies;
    const requests = totalRequests(load);
    metrics.count("loads_reported_total");
    if (requests <= loadBound) return;
    metrics.count(`loads_above_bound_${reason.replace("-", "_")}_total`);
    const { incarnation } = candidate.target;
    const nowMs = timer.nowMs();
    const announcements = this.#announcements;
    if (!announcements.isNews(incarnation, requests, loadBound, nowMs)) return;
    const isReported = load.slowdown === undefined ||
      this.#isReporter(incarnation);
    if (!isReported) return;
    log.event("overloadAnnounced", {
      target: incarnation,
      load: requests,
      loadBound: Math.round(loadBound),
    });
    announcements.recordAnnounced(incarnation, nowMs);
    this.#sent += 1;
    relay.announce(TOPIC, { target: incarnation, requests });
  }

  #isReporter(incarnation: string): boolean {
    const { self, blackboard } = this.#dependencies;
    const peers = blackboard.peers.read().map(({ name }) => name);
    return isLoadReporter(incarnation, self.name, peers);
  }

  #onAnnounced({ target, requests }: Announcement, origin: string): void {
    const { pool, timer, log } = this.#dependencies;
    const nowMs = timer.nowMs();
    this.#received += 1;
    this.#announcements.recordAnnounced(target, nowMs);
    pool.find(target)?.record.recordAnnouncedLoad(requests, nowMs);
    log.event("overloadLearned", { target, load: requests, peer: origin });
  }
}
