import {
  type Candidate,
  ContendedTargets,
  isLoadReporter,
  limitOwners,
  type RegisteredTarget,
  showsContention,
  type TimerService,
} from "@coltsfootford/core";
import type { JSONRPCServer } from "json-rpc-2.0";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type { Metrics } from "../../metrics/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import type {
  AcceptedRequest,
  RequestedSlot,
  SlotOutcome,
  TargetSlots,
} from "../forwarding_types.ts";
import type { ResponseMetadata } from "../request_codec.ts";
import { type CallPeer, callPeer } from "./call_peer.ts";
import type { FleetRelay } from "./fleet_relay.ts";
import { SlotLines } from "./slot_lines.ts";
import {
  type Capacity,
  ContendedSchema,
  EndedSlotsListSchema,
  groupEnds,
  type SlotAsk,
  SlotAsksSchema,
  type SlotReply,
} from "./slot_messages.ts";
import {
  END_METHOD,
  HOLD_MS,
  REQUEST_METHOD,
  SlotOwnerClient,
} from "./slot_owner_client.ts";
import { SlotWait, type SlotWaitEnd } from "./slot_wait.ts";

const TOPIC = "target.contended";
/** Share of the latency objective that the work of a request is expected to take. */
const WORK_SHARE_OF_OBJECTIVE = 0.5;

/** Dependencies of a `SlotController`. */
export interface SlotDependencies {
  /** Whether requests to contended targets are ordered at all. */
  readonly isEnabled: boolean;
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  readonly relay: Pick<FleetRelay, "subscribe" | "announce">;
  readonly rpc: JSONRPCServer;
  readonly callPeer?: CallPeer;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * Orders the requests to contended targets. One daemon, the owner of a target,
 * keeps the line of the requests of all daemons. A daemon asks it before it
 * sends a request, and reports the end of the execution. Requests whose owner
 * does not respond are sent without a decision.
 */
export class SlotController extends Controller implements TargetSlots {
  override readonly name = "slots";
  readonly #dependencies: SlotDependencies;
  readonly #contended = new ContendedTargets();
  readonly #lines: SlotLines;
  readonly #owners: SlotOwnerClient;
  readonly #waits = new Set<SlotWait>();
  /** Distinguishes the requests of this process from those before it. */
  readonly #startedAt: string;
  #requested = 0;

  constructor(dependencies: SlotDependencies) {
    super();
    const { relay, rpc, timer, metrics } = dependencies;
    this.#dependencies = dependencies;
    this.#startedAt = timer.wallClockMs().toString(36);
    this.#lines = new SlotLines(timer);
    this.#owners = new SlotOwnerClient({ callPeer, ...dependencies });
    relay.subscribe(TOPIC, ContendedSchema, ({ target }, origin) => {
      this.#onAnnounced(target, origin);
    });
    rpc.addMethod(
      REQUEST_METHOD,
      (params: unknown) => {
        const { asks, holdMs } = SlotAsksSchema.parse(params);
        return this.#lines.requestAll(asks, holdMs);
      },
    );
    rpc.addMethod(END_METHOD, (params: unknown) => {
      const { targets } = EndedSlotsListSchema.parse(params);
      for (const ended of targets) this.#lines.end(ended);
      return {};
    });
    metrics.gauge("slots_waiting", () => this.#waits.size);
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#lines.stop();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return {
      contended: this.#contended.list(this.#nowMs()),
      waiting: this.#waits.size,
      lines: this.#lines.describe(),
    };
  }

  onResponse(
    { target, record }: Candidate,
    { load, wasNotExecuted }: ResponseMetadata,
    { engine }: AcceptedRequest,
  ): void {
    if (!this.#dependencies.isEnabled) return;
    if (engine || !record.reportsSlowdown) return;
    if (!wasNotExecuted && !(load && showsContention(load))) return;
    const { incarnation } = target;
    const nowMs = this.#nowMs();
    const wasContended = this.#contended.isContended(incarnation, nowMs);
    const isNews = this.#contended.recordSign(incarnation, nowMs);
    const { self, blackboard } = this.#dependencies;
    const peers = blackboard.peers.read().map(({ name }) => name);
    if (isNews && isLoadReporter(incarnation, self.name, peers)) {
      this.#dependencies.relay.announce(TOPIC, { target: incarnation });
    }
    if (!wasContended) this.#logContended(incarnation, undefined);
  }

  isContended({ target }: Candidate, request: AcceptedRequest): boolean {
    return this.#dependencies.isEnabled && request.engine === undefined &&
      this.#contended.isContended(target.incarnation, this.#nowMs());
  }

  requestSlot(
    candidate: Candidate,
    request: AcceptedRequest,
    { timeLeftMs, maxWaitMs }: {
      readonly timeLeftMs: number;
      readonly maxWaitMs: number;
    },
  ): RequestedSlot {
    const { self } = this.#dependencies;
    const owner = this.#ownerOf(candidate.target);
    this.#requested += 1;
    const wait = new SlotWait(owner, {
      target: candidate.target.incarnation,
      id: `${self.name}/${this.#startedAt}-${this.#requested}`,
      rank: request.team?.rank ?? request.route.rank,
      team: request.team?.name,
      timeLeftMs,
      objectiveLeftMs: request.receivedAtMs + request.route.targetLatencyMs -
        this.#nowMs(),
      expectedWorkMs: candidate.record.usualFirstByteMs ??
        request.route.targetLatencyMs * WORK_SHARE_OF_OBJECTIVE,
      mayWaitMs: maxWaitMs,
      slots: Math.max(1, candidate.target.slots),
      capacity: this.#capacityOf(candidate),
    }, this.#nowMs());
    return {
      outcome: this.#run(wait, request),
      end: () => this.#end(wait, candidate),
    };
  }

  #nowMs(): number {
    return this.#dependencies.timer.nowMs();
  }

  async #run(wait: SlotWait, request: AcceptedRequest): Promise<SlotOutcome> {
    const { metrics } = this.#dependencies;
    this.#waits.add(wait);
    const end = await wait.run({
      nowMs: () => this.#nowMs(),
      ask: (ask, isFirst) => this.#ask(wait.owner, ask, isFirst),
    });
    this.#waits.delete(wait);
    metrics.recordMs("slot_wait_ms", this.#nowMs() - wait.startedAtMs);
    metrics.count(`slots_${describeEnd(wait, end)}_total`);
    this.#logEnd(wait, request, end);
    // An end that was reported before the decision arrived may have been early.
    const isLate = wait.hasEnded && wait.isGranted;
    if (isLate || end.kind === "over") this.#reportEnd(wait, undefined);
    if (end.kind === "reject") return end;
    if (end.kind === "over") return { kind: "reject", retryAfterMs: undefined };
    return { kind: "execute" };
  }

  #end(wait: SlotWait, candidate: Candidate): void {
    if (wait.hasEnded) return;
    wait.hasEnded = true;
    if (!wait.isGranted && !this.#waits.has(wait)) return;
    this.#reportEnd(wait, this.#capacityOf(candidate));
  }

  #reportEnd(
    { owner, ask, isGranted }: SlotWait,
    capacity: Capacity | undefined,
  ): void {
    const { target, id } = ask;
    const end = { target, id, wasGranted: isGranted, capacity };
    if (owner.name === this.#dependencies.self.name) {
      for (const ended of groupEnds([end])) this.#lines.end(ended);
    } else this.#owners.reportEnd(owner, end);
  }

  #ownerOf(target: RegisteredTarget): PeerDaemon {
    const { self, blackboard } = this.#dependencies;
    const daemons = new Map(
      [...blackboard.peers.read(), self].map((peer) => [peer.name, peer]),
    );
    const [owner] = limitOwners(
      target,
      [...daemons.values()].map(({ name, availabilityZone }) => ({
        name,
        availabilityZone,
      })),
    );
    return daemons.get(owner ?? self.name) ?? self;
  }

  #ask(
    owner: PeerDaemon,
    ask: SlotAsk,
    isFirst: boolean,
  ): Promise<SlotReply | undefined> {
    if (owner.name === this.#dependencies.self.name) {
      return this.#lines.request(ask, isFirst ? 0 : HOLD_MS);
    }
    return isFirst
      ? this.#owners.ask(owner, ask)
      : this.#owners.askAgain(owner, ask);
  }

  #capacityOf({ record }: Candidate): Capacity | undefined {
    const { lastReport, lastReportAtMs } = record;
    if (lastReport?.slowdown === undefined) return undefined;
    const { slots, slowdown } = lastReport;
    if (slots === 0) return undefined;
    return { slots, slowdown, ageMs: this.#nowMs() - lastReportAtMs };
  }

  #onAnnounced(target: string, origin: string): void {
    const nowMs = this.#nowMs();
    const wasContended = this.#contended.isContended(target, nowMs);
    this.#contended.recordAnnounced(target, nowMs);
    if (!wasContended) this.#logContended(target, origin);
  }

  #logContended(target: string, peer: string | undefined): void {
    this.#dependencies.metrics.count("targets_contended_total");
    this.#dependencies.log.event("targetContended", { target, peer });
  }

  /** Executions without a wait are counted only. */
  #logEnd(
    { owner, ask, asks, startedAtMs }: SlotWait,
    { metadata }: AcceptedRequest,
    end: SlotWaitEnd,
  ): void {
    if (end.kind === "execute" && asks === 1) return;
    this.#dependencies.log.event("slotWaitEnded", {
      request: metadata.requestId,
      target: ask.target,
      owner: owner.name,
      outcome: end.kind,
      waitedMs: Math.round(this.#nowMs() - startedAtMs),
      asks,
      rank: ask.rank,
      team: ask.team,
      timeLeftMs: Math.round(ask.timeLeftMs),
      mayWaitMs: Math.round(ask.mayWaitMs),
      expectedWorkMs: Math.round(ask.expectedWorkMs),
      slowdown: ask.capacity?.slowdown,
      retryAfterMs: end.kind === "reject"
        ? Math.round(end.retryAfterMs)
        : undefined,
    });
  }
}

/** The end of a wait in the name of its metric. */
function describeEnd({ asks }: SlotWait, { kind }: SlotWaitEnd): string {
  if (kind === "execute") return "granted";
  if (kind === "alone") return "without_owner";
  if (kind === "over") return "wait_over";
  return asks === 1 ? "rejected_at_once" : "rejected_after_wait";
}
