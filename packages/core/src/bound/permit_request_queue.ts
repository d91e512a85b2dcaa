import {
  ANY_TARGET_WAIT_MS,
  MAX_QUEUE_WAIT_MS,
  type PermitRequest,
  type PermitResponse,
} from "./permit.ts";

/** Asks that wait beyond this number are refused at once. */
const MAX_WAITING_ASKS = 512;

/** An answer to an ask that waited. */
export interface LateAnswer {
  readonly holder: string;
  readonly answer: PermitResponse;
}

interface QueuedPermitRequest {
  readonly holder: string;
  readonly ask: PermitRequest;
  /** Until then only the first target is good enough. */
  readonly firstUntilMs: number;
  /** Then the ask is refused. */
  readonly untilMs: number;
}

/** Decides on one target of an ask now. */
export type DecideTarget = (
  holder: string,
  ask: PermitRequest,
  target: string,
) => PermitResponse;

/**
 * Asks for which every target that is good enough is full, in the order in
 * which they came.
 */
export class PermitRequestQueue {
  #waiting: QueuedPermitRequest[] = [];

  get length(): number {
    return this.#waiting.length;
  }

  /** Answers an ask now; undefined means that it waits from now on. */
  answer(
    holder: string,
    ask: PermitRequest,
    nowMs: number,
    decide: DecideTarget,
  ): PermitResponse | undefined {
    const waitMs = Math.min(ask.waitMs ?? 0, MAX_QUEUE_WAIT_MS);
    const firstUntilMs = nowMs + waitMs;
    const anyWaitMs = ask.alternatives ? ANY_TARGET_WAIT_MS : 0;
    const untilMs = firstUntilMs + anyWaitMs;
    const entry = { holder, ask, firstUntilMs, untilMs };
    const answer = decideEntry(entry, nowMs, decide);
    const mayWait = nowMs < untilMs && this.#waiting.length < MAX_WAITING_ASKS;
    if (!isFull(answer) || !mayWait) return answer;
    this.#waiting.push(entry);
    return undefined;
  }

  /** Answers what has a place now, or whose wait is over. */
  takeLateAnswers(nowMs: number, decide: DecideTarget): LateAnswer[] {
    const late: LateAnswer[] = [];
    const stillWaiting: QueuedPermitRequest[] = [];
    const decideOnce = rememberFull(decide);
    for (const entry of this.#waiting) {
      const answer = decideEntry(entry, nowMs, decideOnce);
      const mayWait = isFull(answer) && nowMs < entry.untilMs;
      if (mayWait) stillWaiting.push(entry);
      else late.push({ holder: entry.holder, answer });
    }
    this.#waiting = stillWaiting;
    return late;
  }

  /** Refuses the asks whose first target is no longer kept here. */
  refuseTarget(target: string): LateAnswer[] {
    const refused = this.#waiting.filter((it) => it.ask.target === target);
    this.#waiting = this.#waiting.filter((it) => it.ask.target !== target);
    return refused.map(({ holder, ask }) => ({
      holder,
      answer: { kind: "refused", permitId: ask.permitId, reason: "not-keeper" },
    }));
  }

  /** Whether asks wait for which any target of a pool would do. */
  hasLine(nowMs: number, isOfPool: (target: string) => boolean): boolean {
    return this.#waiting.some((entry) =>
      nowMs >= entry.firstUntilMs && isOfPool(entry.ask.target)
    );
  }

  /** Drops an ask that was given up. */
  drop(holder: string, permitId: number): void {
    this.#waiting = this.#waiting.filter((it) =>
      it.holder !== holder || it.ask.permitId !== permitId
    );
  }

  /** Drops the asks of a daemon that is gone. */
  dropHolder(holder: string): void {
    this.#waiting = this.#waiting.filter((it) => it.holder !== holder);
  }
}

/** The first target, or once that was waited for long enough, any. */
function decideEntry(
  entry: QueuedPermitRequest,
  nowMs: number,
  decide: DecideTarget,
): PermitResponse {
  const { holder, ask, firstUntilMs } = entry;
  const first = decide(holder, ask, ask.target);
  if (first.kind === "granted") return first;
  if (isFull(first) && nowMs < firstUntilMs) return first;
  let best: PermitResponse = first;
  for (const target of ask.alternatives ?? []) {
    const answer = decide(holder, ask, target);
    if (answer.kind === "granted") return answer;
    // A full target may have a place soon, the others will not.
    if (isFull(answer)) best = answer;
  }
  return best;
}

/** Grants only fill targets, so one that is full needs no second decision. */
function rememberFull(decide: DecideTarget): DecideTarget {
  const full = new Set<string>();
  return (holder, ask, target) => {
    if (full.has(target)) {
      return { kind: "refused", permitId: ask.permitId, reason: "at-limit" };
    }
    const answer = decide(holder, ask, target);
    if (isFull(answer)) full.add(target);
    return answer;
  };
}

function isFull(answer: PermitResponse): boolean {
  return answer.kind === "refused" && answer.reason === "at-limit";
}
