import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { VirtualTimerService } from "../../timer/index.ts";
import { SlotLine, type SlotLineSettings } from "../slot_line.ts";
import type { SlotRequest } from "../slot_request.ts";

/** Requests of one kind; their work is distributed exponentially. */
export interface Kind {
  readonly name: string;
  readonly rank: number;
  readonly team: string;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly fromMs?: number;
  readonly toMs?: number;
  /** Rejected clients repeat after this time instead of the retry time. */
  readonly repeatAfterMs?: number;
}

export interface Load {
  readonly kinds: readonly Kind[];
  readonly slots: number;
  readonly targets?: number;
  readonly daemons?: number;
  readonly seed?: number;
  /** One target is lost at this time. */
  readonly lostAtMs?: number;
}

/** Results of one kind. */
export interface KindFigures {
  offered: number;
  served: number;
  inTime: number;
  value: number;
  needless: number;
  attempts: number;
  readonly waitsMs: number[];
  readonly rejectedAfterMs: number[];
}

interface Client extends SlotRequest {
  readonly kind: Kind;
  readonly arrivedAtMs: number;
  readonly workMs: number;
  readonly daemon: number;
  askedAtMs: number;
  /** Targets that have rejected this attempt. */
  tried: number[];
  lostAtMs?: number;
}

const DURATION_MS = 12_000;
/** No load has longer deadlines. */
const MAX_DEADLINE_MS = 12_000;
const LINK_MS = 2;
const EXPIRY_PERIOD_MS = 50;
const ANNOUNCEMENT_PERIOD_MS = 1_000;
const TARGET_QUEUE = 24;
/** Targets that a daemon asks before it rejects a request. */
const MAX_TRIED = 2;
/** How long a request waits at one target while it may try another one. */
const MAX_PREFERENCE_MS = 100;
const MIN_LEFT_MS = 20;

/** A target, with its line if requests go through the owner. */
class Target {
  slots: number;
  readonly line: SlotLine | undefined;
  readonly queue: Client[] = [];
  readonly running = new Set<Client>();
  /** Times at which a slot was free and nothing waited. */
  readonly idleAtMs: number[] = [];

  constructor(slots: number, settings: Partial<SlotLineSettings> | undefined) {
    this.slots = slots;
    this.line = settings && new SlotLine(slots, 0, settings);
  }

  get load(): number {
    return this.running.size + this.queue.length + (this.line?.waiting ?? 0);
  }
}

/**
 * Replays a load in virtual time through one line for each target or, without
 * `settings`, from daemons that choose targets by what they saw last.
 */
export class Replay {
  readonly figures = new Map<string, KindFigures>();
  readonly #timer = new VirtualTimerService();
  readonly #random;
  readonly #targets: Target[];
  /** Load of each target in the last response that a daemon got from it. */
  readonly #views: number[][];
  readonly #clients = new Map<string, Client>();

  constructor(readonly load: Load, settings?: () => Partial<SlotLineSettings>) {
    this.#random = xoroshiro128plus(load.seed ?? 1);
    this.#targets = Array.from(
      { length: load.targets ?? 1 },
      () => new Target(load.slots, settings?.()),
    );
    this.#views = Array.from(
      { length: load.daemons ?? 1 },
      () => this.#targets.map(() => 0),
    );
  }

  run(): Map<string, KindFigures> {
    for (const kind of this.load.kinds) this.#schedule(kind);
    const { lostAtMs } = this.load;
    if (lostAtMs !== undefined) {
      this.#timer.after(lostAtMs, () => this.#lose(this.#targets[0]!));
    }
    this.#timer.every(EXPIRY_PERIOD_MS, () => {
      for (const target of this.#targets) this.#expire(target);
    });
    this.#timer.every(ANNOUNCEMENT_PERIOD_MS, () => this.#announce());
    this.#timer.advance(DURATION_MS + MAX_DEADLINE_MS);
    for (const client of this.#clients.values()) this.#countNeedless(client);
    return this.figures;
  }

  #schedule(kind: Kind): void {
    this.figures.set(kind.name, {
      offered: 0,
      served: 0,
      inTime: 0,
      value: 0,
      needless: 0,
      attempts: 0,
      waitsMs: [],
      rejectedAfterMs: [],
    });
    let atMs = kind.fromMs ?? 0;
    for (let index = 0;; index++) {
      atMs += this.#exponential(1_000 / kind.perSecond);
      if (atMs > (kind.toMs ?? DURATION_MS)) return;
      this.#addClient(kind, `${kind.name}-${index}`, atMs);
    }
  }

  #addClient(kind: Kind, id: string, atMs: number): void {
    const workMs = Math.max(1, this.#exponential(kind.workMs));
    const client: Client = {
      id,
      kind,
      workMs,
      rank: kind.rank,
      team: kind.team,
      arrivedAtMs: atMs,
      askedAtMs: atMs,
      objectiveAtMs: atMs + kind.objectiveMs,
      deadlineAtMs: atMs + kind.deadlineMs,
      mayWaitUntilMs: atMs + kind.deadlineMs,
      expectedWorkMs: workMs,
      daemon: Math.floor(this.#uniform() * this.#views.length),
      tried: [],
    };
    this.#clients.set(id, client);
    this.figures.get(kind.name)!.offered += 1;
    this.#timer.after(atMs, () => this.#ask(client));
  }

  /** The daemon of the client asks the target that it sees least loaded. */
  #ask(client: Client): void {
    this.figures.get(client.kind.name)!.attempts += 1;
    const view = this.#views[client.daemon]!;
    const open = [...view.keys()].filter((at) =>
      this.#targets[at]!.slots > 0 && !client.tried.includes(at)
    ).map((at) => ({ at, load: view[at]! + this.#uniform() }));
    const best = open.sort((a, b) => a.load - b.load)[0];
    if (!best) return this.#reject(client, 1_000);
    this.#timer.after(LINK_MS, () => this.#decide(client, best.at));
  }

  #decide(client: Client, at: number): void {
    const target = this.#targets[at]!;
    const isFull = target.load >= target.slots + TARGET_QUEUE;
    const nowMs = this.#timer.nowMs();
    const mayWaitUntilMs = this.#mayTryOther(client)
      ? Math.min(client.mayWaitUntilMs, nowMs + MAX_PREFERENCE_MS)
      : client.mayWaitUntilMs;
    const decision = target.line?.request(
      { ...client, mayWaitUntilMs },
      nowMs,
    ) ??
      (isFull ? { kind: "reject", retryAfterMs: 1_000 } : { kind: "execute" });
    if (decision.kind === "execute") this.#send(client, target);
    if (target.line?.hasRejections) this.#expire(target);
    if (decision.kind !== "reject") return;
    this.#rejectAt(target, client, decision.retryAfterMs);
  }

  #mayTryOther({ tried }: Client): boolean {
    return tried.length + 1 < Math.min(MAX_TRIED, this.#targets.length);
  }

  #rejectAt(target: Target, client: Client, retryAfterMs: number): void {
    const at = this.#targets.indexOf(target);
    this.#views[client.daemon]![at] = target.load;
    const mayTryOther = this.#mayTryOther(client);
    client.tried.push(at);
    if (mayTryOther) this.#ask(client);
    else this.#reject(client, retryAfterMs);
  }

  #send(client: Client, target: Target): void {
    this.#timer.after(LINK_MS, () => {
      target.queue.push(client);
      this.#work(target);
    });
  }

  #work(target: Target): void {
    const nowMs = this.#timer.nowMs();
    while (target.running.size < target.slots && target.queue.length > 0) {
      const client = target.queue.shift()!;
      target.running.add(client);
      const waitMs = nowMs - client.arrivedAtMs;
      this.figures.get(client.kind.name)!.waitsMs.push(waitMs);
      this.#timer.after(client.workMs, () => this.#finish(client, target));
    }
    if (target.load < target.slots) target.idleAtMs.push(nowMs);
  }

  #finish(client: Client, target: Target): void {
    if (!target.running.delete(client)) return;
    const nowMs = this.#timer.nowMs();
    const figures = this.figures.get(client.kind.name)!;
    const isServed = nowMs <= client.deadlineAtMs;
    const isInTime = nowMs <= client.objectiveAtMs;
    figures.served += isServed ? 1 : 0;
    figures.inTime += isInTime ? 1 : 0;
    figures.value += (isInTime ? 1 : isServed ? 0.5 : 0) * 2 ** -client.rank;
    this.#clients.delete(client.id);
    const at = this.#targets.indexOf(target);
    this.#views[client.daemon]![at] = target.load;
    this.#work(target);
    this.#timer.after(LINK_MS, () => {
      const ids = target.line?.release(client.id, nowMs + LINK_MS) ?? [];
      for (const id of ids) this.#send(this.#clients.get(id)!, target);
    });
  }

  #expire(target: Target): void {
    const ended = target.line?.expire(this.#timer.nowMs());
    for (const id of ended?.execute ?? []) {
      this.#send(this.#clients.get(id)!, target);
    }
    for (const { id, retryAfterMs } of ended?.reject ?? []) {
      this.#rejectAt(target, this.#clients.get(id)!, retryAfterMs);
    }
  }

  /** All daemons learn the same loads, which soon become stale. */
  #announce(): void {
    for (const view of this.#views) {
      for (const [at, { load }] of this.#targets.entries()) view[at] = load;
    }
  }

  #lose(target: Target): void {
    target.line?.setCapacity(0, 1);
    target.slots = 0;
    for (const client of [...target.queue.splice(0), ...target.running]) {
      this.#reject(client, 0);
    }
    target.running.clear();
  }

  #reject(client: Client, retryAfterMs: number): void {
    const nowMs = this.#timer.nowMs();
    const figures = this.figures.get(client.kind.name)!;
    figures.rejectedAfterMs.push(nowMs - client.askedAtMs);
    client.lostAtMs ??= nowMs;
    const leftMs = client.deadlineAtMs - nowMs;
    const backMs = client.kind.repeatAfterMs ??
      Math.min(retryAfterMs, leftMs / 3);
    if (leftMs - backMs < Math.max(MIN_LEFT_MS, client.workMs)) return;
    this.#timer.after(Math.max(1, backMs), () => {
      client.tried = [];
      client.askedAtMs = this.#timer.nowMs();
      this.#ask(client);
    });
  }

  /** A request was lost although a slot was free within its time. */
  #countNeedless(client: Client): void {
    if (client.lostAtMs === undefined) return;
    const { lostAtMs, deadlineAtMs, workMs } = client;
    const isNeedless = this.#targets.some(({ idleAtMs }) =>
      (idleAtMs[firstIndexFrom(idleAtMs, lostAtMs)] ?? Infinity) <
        deadlineAtMs - workMs
    );
    if (isNeedless) this.figures.get(client.kind.name)!.needless += 1;
  }

  #exponential(mean: number): number {
    return -mean * Math.log(1 - this.#uniform());
  }

  #uniform(): number {
    return uniformFloat64(this.#random);
  }
}

/** Index of the first of the ascending times that is not below `fromMs`. */
function firstIndexFrom(timesMs: readonly number[], fromMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (timesMs[middle]! < fromMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
