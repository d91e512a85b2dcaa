import { pickByRendezvous } from "../hash/index.ts";

/**
 * Keeps suspects apart. Each target takes suspects from one daemon only, found
 * by rendezvous hashing over the live daemons, and that daemon
 * runs one suspect at a time on it. The view of who is live only decides how
 * well suspects are told apart; how many targets one request can crash rests
 * on the count of crashes.
 */
export class SuspectIsolation {
  readonly #runningByTarget = new Map<string, string>();

  /** Targets on which `vm` may start a suspect now. */
  findFreeTargets(
    vm: string,
    liveDaemons: readonly string[],
    targets: readonly string[],
  ): string[] {
    const own = targets.filter((target) =>
      pickByRendezvous(target, liveDaemons) === vm
    );
    // With fewer targets than daemons some daemons own none; a suspect of
    // theirs then takes any target rather than not being served at all.
    const usable = own.length > 0 ? own : targets;
    return usable.filter((target) => !this.#runningByTarget.has(target));
  }

  /** Reserves the target for one suspect; false where one is running on it. */
  tryStart(target: string, requestId: string): boolean {
    if (this.#runningByTarget.has(target)) return false;
    this.#runningByTarget.set(target, requestId);
    return true;
  }

  end(target: string, requestId: string): void {
    if (this.#runningByTarget.get(target) !== requestId) return;
    this.#runningByTarget.delete(target);
  }
}
