import {
  CacheBeliefs,
  type Candidate,
  HomeHistory,
  homePart,
  type PromptDescription,
  type RosterTarget,
  TargetRecord,
  type TimerService,
} from "@coltsfootford/core";
import type { ForwardingBoard } from "./board.ts";
import { TargetConnections } from "./target_connections.ts";

/** One incarnation of a target with what belongs to it. */
export interface PooledTarget extends Candidate {
  readonly connections: TargetConnections;
}

/** The targets on the board, each with its record and its connections. */
export class TargetPool {
  readonly beliefs = new CacheBeliefs();
  readonly #timer: TimerService;
  readonly #byIncarnation = new Map<string, PooledTarget>();
  readonly #leaveMs: number;
  /** Targets that left shortly before, from which others may still fetch. */
  readonly #departed = new Map<
    string,
    { readonly pooled: PooledTarget; readonly untilMs: number }
  >();
  #byService = new Map<string, PooledTarget[]>();
  /** The homes of prompts by service. */
  readonly #homes = new Map<string, HomeHistory>();

  /** `leaveMs` is how long a target that leaves can still be reached. */
  constructor(board: ForwardingBoard, timer: TimerService, leaveMs: number) {
    this.#timer = timer;
    this.#leaveMs = leaveMs;
    board.targets.subscribe((targets) => this.#update(targets ?? []));
  }

  /** The targets of a service that may be sent work. */
  ofService(service: string): readonly PooledTarget[] {
    return this.#byService.get(service) ?? [];
  }

  /** The incarnation that is the home of a prompt at a service. */
  homeOf(service: string, prompt: PromptDescription): string | undefined {
    const part = homePart(prompt);
    return part && this.#historyOf(service).homeOf(part.id);
  }

  /** The home before the last move, while it can still be reached. */
  formerHomeOf(
    service: string,
    prompt: PromptDescription,
  ): PooledTarget | undefined {
    const part = homePart(prompt);
    if (!part) return undefined;
    const former = this.#historyOf(service).formerHomeOf(part.id);
    if (former === undefined) return undefined;
    const serving = this.#byIncarnation.get(former);
    if (serving) return serving;
    const departed = this.#departed.get(former);
    const isLate = departed && this.#timer.nowMs() > departed.untilMs;
    return isLate ? undefined : departed?.pooled;
  }

  /** All targets that may be sent work. */
  all(): Iterable<PooledTarget> {
    return this.#byIncarnation.values();
  }

  /** Closes the connections that are idle, and the others when they are. */
  close(): void {
    for (const { connections } of this.all()) connections.retire();
  }

  #update(targets: readonly RosterTarget[]): void {
    const present = new Set(targets.map((target) => target.incarnation));
    for (const [incarnation, pooled] of this.#byIncarnation) {
      if (present.has(incarnation)) continue;
      this.#byIncarnation.delete(incarnation);
      pooled.connections.retire();
      this.#departed.set(incarnation, {
        pooled,
        untilMs: this.#timer.nowMs() + this.#leaveMs,
      });
    }
    this.#forgetDeparted();
    this.beliefs.keepOnly(present);
    this.#byService = new Map();
    for (const target of targets) this.#add(target);
    for (const [service, siblings] of this.#byService) {
      const members = siblings.map(({ target }) => target);
      this.#historyOf(service).noteTargets(members, this.#timer.nowMs());
    }
  }

  #forgetDeparted(): void {
    const nowMs = this.#timer.nowMs();
    for (const [incarnation, { untilMs }] of this.#departed) {
      if (nowMs > untilMs) this.#departed.delete(incarnation);
    }
  }

  #historyOf(service: string): HomeHistory {
    let history = this.#homes.get(service);
    if (!history) {
      history = new HomeHistory();
      this.#homes.set(service, history);
    }
    return history;
  }

  #add(target: RosterTarget): void {
    const known = this.#byIncarnation.get(target.incarnation);
    const isMoved = known?.target.host !== target.host ||
      known.target.port !== target.port;
    if (known && isMoved) known.connections.retire();
    const pooled: PooledTarget = {
      target,
      record: known?.record ?? new TargetRecord(),
      connections: known && !isMoved
        ? known.connections
        : new TargetConnections(),
    };
    this.#byIncarnation.set(target.incarnation, pooled);
    const siblings = this.#byService.get(target.service) ?? [];
    siblings.push(pooled);
    this.#byService.set(target.service, siblings);
  }
}
