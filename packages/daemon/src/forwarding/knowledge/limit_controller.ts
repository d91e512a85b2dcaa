import {
  type Candidate,
  type InFlightAttempt,
  limitOwners,
  type LimitRole,
  type NamedLimit,
  NamedLimits,
  type Permit,
  PermitLimiters,
  type RegisteredTarget,
  type Reservation,
  type TimerService,
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
import type { TargetLimits } from "../forwarding_types.ts";
import type { ResponseMetadata } from "../request_codec.ts";
import type { TargetPool } from "../target_pool.ts";
import { callPeer } from "./call_peer.ts";
import type { ColdTargetController } from "./cold_target_controller.ts";
import type { FleetRelay } from "./fleet_relay.ts";
import type { RetainedFacts } from "./retained_facts.ts";

const TOPIC = "target.limit";
const RESERVE_METHOD = "limit.reserve";
/** An owner in another zone responds within a few ms. */
const RESERVE_TIMEOUT_MS = 150;
/** How long an owner that did not respond is passed over. */
const UNREACHABLE_MS = 1_000;
/** Wait after which to ask again where no owner responds. */
const NO_OWNER_WAIT_MS = 250;
/**
 * Pause before the first permit of a target that has turned cold. The requests
 * that were sent to it without a permit count in the same second.
 */
const TURNED_COLD_PAUSE_MS = 1_000;

const LimitSchema = z.object({
  target: z.string(),
  /** Null once the target names no limit. */
  requestsPerSecond: z.number().nonnegative().nullable(),
});

const ReserveSchema = z.object({
  target: z.string(),
  /** The limit as the asking daemon knows it. */
  requestsPerSecond: z.number().nonnegative(),
  maxWaitMs: z.number().nonnegative(),
  /** Whether the limit holds in each second, as that of a cold target. */
  isStrict: z.boolean().default(false),
  role: z.enum(["owner", "substitute"]),
});
type ReserveRequest = z.infer<typeof ReserveSchema>;

const ReservationSchema = z.object({
  permit: z.union([
    z.object({ kind: z.literal("granted"), waitMs: z.number() }),
    z.object({ kind: z.literal("denied") }),
  ]),
  nextWaitMs: z.number(),
});

/** Dependencies of a `LimitController`. */
export interface LimitDependencies {
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  readonly pool: TargetPool;
  readonly relay: FleetRelay;
  readonly coldTargets: ColdTargetController;
  readonly rpc: JSONRPCServer;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * Keeps to the limits that targets name, and to those of cold targets; the lower
 * one holds. Changes of a limit are announced to all
 * daemons. One daemon, the owner of the target's limit, hands out permits, so
 * that the requests of all daemons add up.
 */
export class LimitController extends Controller
  implements TargetLimits, RetainedFacts {
  override readonly name = "limits";
  readonly topic = TOPIC;
  readonly #dependencies: LimitDependencies;
  readonly #limits = new NamedLimits();
  readonly #limiters: PermitLimiters;
  readonly #passedOverUntilMs = new Map<string, number>();

  constructor(dependencies: LimitDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#limiters = new PermitLimiters(
      dependencies.self.name,
      dependencies.timer.nowMs(),
    );
    dependencies.coldTargets.subscribe({
      onTurnedCold: (target) => {
        const nowMs = this.#nowMs();
        const untilMs = nowMs + TURNED_COLD_PAUSE_MS;
        this.#limiters.delayUntil(target, untilMs, nowMs);
      },
      onWarm: (target) => {
        if (this.#limits.requestsPerSecondOf(target) === undefined) {
          this.#forgetWait(target);
        }
      },
    });
    dependencies.relay.subscribe(TOPIC, LimitSchema, (limit, origin) => {
      this.#onAnnounced(limit, origin);
    });
    dependencies.rpc.addMethod(RESERVE_METHOD, (params: unknown) => {
      return this.#reserveFor(ReserveSchema.parse(params));
    });
    dependencies.blackboard.targets.subscribe((targets) => {
      if (!targets) return;
      this.#limits.keepOnly(
        new Set(targets.map(({ incarnation }) => incarnation)),
      );
    });
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { limits: this.#limits.list(), limiters: this.#limiters.size };
  }

  /** The known limits, for daemons that missed the announcements. */
  listFacts(): readonly unknown[] {
    return this.#limits.list();
  }

  applyFact(fact: unknown): void {
    const { target, requestsPerSecond } = LimitSchema.parse(fact);
    if (requestsPerSecond === null) return;
    this.#limits.recordAnnounced({ target, requestsPerSecond }, this.#nowMs());
  }

  /** A rejection that names no limit does not end one. */
  onResponse(
    { incarnation }: RegisteredTarget,
    { limitPerSecond, wasNotExecuted, coldLeftMs }: ResponseMetadata,
    { startedAtMs }: InFlightAttempt,
  ): void {
    if (coldLeftMs !== undefined) {
      this.#dependencies.coldTargets.onStated(incarnation, coldLeftMs);
    }
    if (wasNotExecuted && limitPerSecond === undefined) return;
    const { relay, log } = this.#dependencies;
    const limit = { target: incarnation, requestsPerSecond: limitPerSecond };
    if (!this.#limits.recordNamed(limit, startedAtMs, this.#nowMs())) return;
    if (limitPerSecond === undefined) this.#forgetWait(incarnation);
    log.event("limitNamed", { ...limit });
    relay.announce(TOPIC, {
      target: incarnation,
      requestsPerSecond: limitPerSecond ?? null,
    });
  }

  isLimited({ incarnation }: RegisteredTarget): boolean {
    return this.#limitOf(incarnation) !== undefined;
  }

  async requestPermit(
    { target, record }: Candidate,
    maxWaitMs: number,
  ): Promise<Permit> {
    const { metrics } = this.#dependencies;
    const { incarnation } = target;
    const requestsPerSecond = this.#limitOf(incarnation);
    if (requestsPerSecond === undefined) return { kind: "granted", waitMs: 0 };
    const { permit, nextWaitMs } = await this.#reserve(target, {
      target: incarnation,
      requestsPerSecond,
      maxWaitMs,
      isStrict: this.#isStrict(incarnation),
    });
    record.permitFromMs = this.#nowMs() + nextWaitMs;
    metrics.count(`permits_${permit.kind}_total`);
    return permit;
  }

  #nowMs(): number {
    return this.#dependencies.timer.nowMs();
  }

  async #reserve(
    target: RegisteredTarget,
    request: Omit<ReserveRequest, "role">,
  ): Promise<Reservation> {
    const { self, blackboard } = this.#dependencies;
    const peers = new Map(
      [...blackboard.peers.read(), self].map((peer) => [peer.name, peer]),
    );
    const candidates = [...peers.values()].map(
      ({ name, availabilityZone }) => ({ name, availabilityZone }),
    );
    const [owner, substitute] = limitOwners(target, candidates);
    const roles = [
      { name: owner, role: "owner" },
      { name: substitute, role: "substitute" },
    ] as const;
    for (const { name, role } of roles) {
      if (name === self.name) return this.#reserveHere(request, role);
      const peer = name === undefined ? undefined : peers.get(name);
      const reservation = peer &&
        await this.#askPeer(peer, { ...request, role });
      if (reservation) return reservation;
    }
    const own = this.#reserveHere(request, "own");
    const nextWaitMs = Math.max(own.nextWaitMs, NO_OWNER_WAIT_MS);
    return { ...own, nextWaitMs };
  }

  async #askPeer(
    peer: PeerDaemon,
    request: ReserveRequest,
  ): Promise<Reservation | undefined> {
    const { log } = this.#dependencies;
    const passedOverUntilMs = this.#passedOverUntilMs.get(peer.name) ?? 0;
    if (this.#nowMs() < passedOverUntilMs) return undefined;
    try {
      const response = await callPeer(
        peer,
        RESERVE_METHOD,
        request,
        RESERVE_TIMEOUT_MS,
      );
      return ReservationSchema.parse(response);
    } catch (cause) {
      const error = (cause as Error).message;
      this.#passedOverUntilMs.set(peer.name, this.#nowMs() + UNREACHABLE_MS);
      log.event("peerUnreachable", { peer: peer.name, error });
      return undefined;
    }
  }

  /** The lower one of the limits that hold; undefined without any. */
  #limitOf(incarnation: string): number | undefined {
    const named = this.#limits.requestsPerSecondOf(incarnation);
    const cold = this.#dependencies.coldTargets.limitOf(incarnation);
    if (named === undefined || cold === undefined) return named ?? cold;
    return Math.min(named, cold);
  }

  #isStrict(incarnation: string): boolean {
    return this.#dependencies.coldTargets.limitOf(incarnation) !== undefined;
  }

  /**
   * The owner's own knowledge of the limit goes before the asking daemon's, but
   * a target that is cold to either of them is cold.
   */
  #reserveFor(request: ReserveRequest): Reservation {
    const own = this.#limitOf(request.target) ?? request.requestsPerSecond;
    const requestsPerSecond = request.isStrict
      ? Math.min(own, request.requestsPerSecond)
      : own;
    const isStrict = request.isStrict || this.#isStrict(request.target);
    return this.#reserveHere(
      { ...request, requestsPerSecond, isStrict },
      request.role,
    );
  }

  #reserveHere(
    { target, requestsPerSecond, maxWaitMs, isStrict }: Omit<
      ReserveRequest,
      "role"
    >,
    role: LimitRole,
  ): Reservation {
    return this.#limiters.reserve({
      target,
      requestsPerSecond,
      maxWaitMs,
      role,
      daemons: this.#dependencies.blackboard.peers.read().length + 1,
      isStrict,
    }, this.#nowMs());
  }

  #onAnnounced(
    { target, requestsPerSecond }: z.infer<typeof LimitSchema>,
    origin: string,
  ): void {
    const { log } = this.#dependencies;
    const limit: NamedLimit = {
      target,
      requestsPerSecond: requestsPerSecond ?? undefined,
    };
    this.#limits.recordAnnounced(limit, this.#nowMs());
    if (requestsPerSecond === null) this.#forgetWait(target);
    log.event("limitLearned", { target, requestsPerSecond, peer: origin });
  }

  /** The cost of a target without a limit includes no wait for a permit. */
  #forgetWait(incarnation: string): void {
    const pooled = this.#dependencies.pool.find(incarnation);
    if (pooled) pooled.record.permitFromMs = -Infinity;
  }
}
