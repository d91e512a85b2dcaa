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

/** The dependencies of `SuspectIsolation`. */
export interface SuspectIsolationDependencies {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  readonly timer: TimerService;
}

/** Releases the target for other suspects. Idempotent. */
export type ReleaseIsolation = () => void;

/**
 * Isolates the suspect requests of all daemons: a target executes at most one
 * at a time.
 */
export class SuspectIsolation {
  readonly #dependencies: SuspectIsolationDependencies;
  readonly #grants = new SuspectGrants();

  constructor(dependencies: SuspectIsolationDependencies) {
    this.#dependencies = dependencies;
    const { peers, timer } = dependencies;
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

  /**
   * Requests a grant from the target's arbiter. Resolves with undefined if
   * another suspect executes on the target, or if the arbiter does not respond.
   */
  async acquire(
    target: string,
    holder: string,
    durationMs: number,
  ): Promise<ReleaseIsolation | undefined> {
    const { vm, peers, timer } = this.#dependencies;
    const arbiter = findSuspectArbiter(target, this.#listLive()) ?? vm;
    const grantMs = Math.max(1, Math.min(durationMs, MAX_SUSPECT_GRANT_MS));
    if (arbiter === vm) {
      const nowMs = timer.nowMs();
      if (!this.#grants.tryGrant(target, holder, grantMs, nowMs)) {
        return undefined;
      }
      return () => this.#grants.release(target, holder);
    }
    const response = await peers.call(
      arbiter,
      GRANT_METHOD,
      { target, holder, durationMs: grantMs },
      z.boolean(),
      { timeoutMs: GRANT_TIMEOUT_MS },
    );
    if (!response.unwrapOr(false)) return undefined;
    return () => peers.notify(arbiter, RELEASE_METHOD, { target, holder });
  }

  /** Names of the live daemons of all zones, including this one. */
  #listLive(): string[] {
    const { vm, blackboard } = this.#dependencies;
    const names = new Set([vm]);
    for (const daemon of blackboard.daemons.read().values()) {
      if (daemon.state === "live") names.add(daemon.vm);
    }
    return [...names];
  }
}
