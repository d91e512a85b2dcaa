import type { EventFrame } from "../forwarding/responses/event_frames.ts";

/** Why an event does not go on with the stream before it. */
export type EventFault =
  | "stream repeats an event"
  | "stream leaves out events"
  | "event of a resumed stream has no number";

/** Ids that can be ordered; larger ones lose digits as numbers. */
const NUMBER = /^\d{1,15}$/;
/** Steps of one that show a stream to be numbered without gaps. */
const STEPS_OF_GAPLESS_STREAM = 2;

/**
 * The events of one response over all runs at targets. Event ids increase, and a
 * run at another target goes on after the last id. Most streams number their
 * events one by one, so that a gap shows as well.
 */
export class EventSequence {
  #lastEventId: string | undefined;
  #last: number | undefined;
  /** Events that are numbered one higher than the event before. */
  #steps = 0;
  #hasGaps = false;
  #hasUnnumbered = false;
  #isAtStartOfRun = true;
  readonly #isFromStart: boolean;

  /** `lastEventId`: the event after which the client resumes, if it does. */
  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
    this.#last = parseNumber(lastEventId);
    this.#isFromStart = lastEventId === undefined;
  }

  /** The id of the last event; undefined before the first one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether a run at another target can go on after the last event. */
  get isResumable(): boolean {
    return this.#last !== undefined && !this.#hasUnnumbered;
  }

  /** Begins a run at a target. */
  startRun(): void {
    this.#isAtStartOfRun = true;
  }

  /** Records the next event; returns why it is not the next one, if it isn't. */
  record({ id, hasData }: EventFrame): EventFault | undefined {
    const number = parseNumber(id);
    if (number === undefined) return this.#recordUnnumbered(hasData);
    const fault = this.#findFault(number);
    if (fault) return fault;
    const isStep = this.#last === undefined
      ? this.#isFromStart && number === 1
      : number === this.#last + 1;
    if (isStep) this.#steps += 1;
    else if (this.#last !== undefined) this.#hasGaps = true;
    this.#last = number;
    this.#lastEventId = id;
    this.#isAtStartOfRun = false;
    return undefined;
  }

  #recordUnnumbered(hasData: boolean): EventFault | undefined {
    if (!hasData) return undefined;
    const isResumed = this.#isAtStartOfRun && this.#last !== undefined;
    if (isResumed) return "event of a resumed stream has no number";
    this.#hasUnnumbered = true;
    return undefined;
  }

  #findFault(number: number): EventFault | undefined {
    if (this.#last === undefined) return undefined;
    if (number <= this.#last) return "stream repeats an event";
    if (number === this.#last + 1 || this.#hasGaps) return undefined;
    const steps = this.#isAtStartOfRun ? 1 : STEPS_OF_GAPLESS_STREAM;
    return this.#steps >= steps ? "stream leaves out events" : undefined;
  }
}

function parseNumber(id: string | undefined): number | undefined {
  return id !== undefined && NUMBER.test(id) ? Number(id) : undefined;
}
