import {
  findSuspectArbiter,
  MAX_SUSPECT_GRANT_MS,
  SuspectGrants,
  type TimerService,
} from "@coltsfootford/core";
import { z } from "zod";
import type { Blackboard } from "../blackboard/index.ts";
import type { Peers } from "../peers/index.ts";

const GRANT_METHOD = "xg";
const RELEASE_METHOD = "xr";
const GRANT_TIMEOUT_MS = 300;

const nameSchema = z.string().min(1).max(200);
const grantSchema = z.strictObject({
  target: nameSchema,
  holder: nameSchema,
  durationMs: z.number().positive().max(MAX_SUSPECT_GRANT_MS),
});
const releaseSchema = z.strictObject({
  target: nameSchema,
  holder: nameSchema,
});

/** Parts of the daemon that the isolation uses. */
export interface SuspectIsolationParts {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  readonly timer: TimerService;
}

/** Gives the target back. Idempotent. */
export type ReleaseIsolation = () => void;

/** Keeps suspects of all daemons apart: one at a time on each target. */
export class SuspectIsolation {
  readonly #parts: SuspectIsolationParts;
  readonly #grants = new SuspectGrants();

  constructor(parts: SuspectIsolationParts) {
    this.#parts = parts;
    const { peers, timer } = parts;
    peers.handle(
      GRANT_METHOD,
      grantSchema,
      ({ target, holder, durationMs }) =>
        this.#grants.tryGrant(target, holder, durationMs, timer.nowMs()),
    );
    peers.handle(RELEASE_METHOD, releaseSchema, ({ target, holder }) => {
      this.#grants.release(target, holder);
    });
  }

  /** Asks the target's arbiter; undefined where another suspect runs there. */
  async acquire(
    target: string,
    holder: string,
    durationMs: number,
  ): Promise<ReleaseIsolation | undefined> {
    const { vm, peers, timer } = this.#parts;
    const arbiter = findSuspectArbiter(target, this.#listLive()) ?? vm;
    const grantMs = Math.max(1, Math.min(durationMs, MAX_SUSPECT_GRANT_MS));
    if (arbiter === vm) {
      const nowMs = timer.nowMs();
      if (!this.#grants.tryGrant(target, holder, grantMs, nowMs)) {
        return undefined;
      }
      return () => this.#grants.release(target, holder);
    }
    const answer = await peers.call(
      arbiter,
      GRANT_METHOD,
      { target, holder, durationMs: grantMs },
      z.boolean(),
      { timeoutMs: GRANT_TIMEOUT_MS },
    );
    if (!answer.unwrapOr(false)) return undefined;
    return () => peers.notify(arbiter, RELEASE_METHOD, { target, holder });
  }

  /** Names of the live daemons of all zones, this one included. */
  #listLive(): string[] {
    const { vm, blackboard } = this.#parts;
    const names = new Set([vm]);
    for (const daemon of blackboard.daemons.read().values()) {
      if (daemon.state === "live") names.add(daemon.vm);
    }
    return [...names];
  }
}
