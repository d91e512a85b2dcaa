import {
  CHANGES_METHOD,
  type DaemonCandidate,
  DEFAULT_MEMBERSHIP_OPTIONS,
  type FleetList,
  Membership,
  type MembershipOptions,
  type OutgoingMessage,
  PULL_METHOD,
  type TargetCandidate,
  VirtualTimerService,
} from "@coltsfootford/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { FakeLink, type LinkOptions } from "./fake_link.ts";

const TICK_MS = DEFAULT_MEMBERSHIP_OPTIONS.tickMs;
const START_INCARNATION = 30_000_000;

/** Size, links and seed of a fake fleet. */
export interface FakeFleetOptions {
  readonly zones: number;
  readonly daemonsPerZone: number;
  readonly targetsPerZone?: number;
  readonly links: LinkOptions;
  readonly seed: number;
  readonly membership?: Partial<MembershipOptions>;
}

/** One daemon of the fake fleet. */
export interface FakeDaemon {
  readonly vm: string;
  readonly availabilityZone: string;
  membership: Membership;
  state: "running" | "paused" | "dead";
  sentBytes: number;
  receivedBytes: number;
  restartCount: number;
  hasAttachmentTimer: boolean;
}

/**
 * Many `Membership` state machines connected by fake links in virtual time.
 * Only the sockets and clocks are fake; the membership code is that of core.
 */
export class FakeFleet {
  readonly timer = new VirtualTimerService();
  readonly daemons: FakeDaemon[] = [];
  readonly list: FleetList;
  readonly #options: FakeFleetOptions;
  readonly #random: RandomGenerator;
  readonly #byName = new Map<string, FakeDaemon>();
  readonly #links = new Map<string, FakeLink>();
  readonly #pendingDeliveries = new Map<string, (() => void)[]>();
  readonly #blockedLinks = new Set<string>();
  #cutZones = new Set<string>();

  constructor(options: FakeFleetOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    this.list = createList(options);
    for (const candidate of this.list.daemons) this.#startDaemon(candidate);
  }

  /** Returns the daemon on the VM. */
  daemon(vm: string): FakeDaemon {
    return this.#byName.get(vm)!;
  }

  /** Returns the daemons that are neither paused nor dead. */
  running(): FakeDaemon[] {
    return this.daemons.filter((daemon) => daemon.state === "running");
  }

  /** Moves virtual time forward. */
  advance(durationMs: number): void {
    this.timer.advance(durationMs);
  }

  /**
   * Advances in ticks until `condition` holds and returns the time in ms, or
   * undefined if it doesn't hold within `limitMs`.
   */
  timeUntil(condition: () => boolean, limitMs: number): number | undefined {
    const startMs = this.timer.nowMs();
    while (this.timer.nowMs() - startMs < limitMs) {
      if (condition()) return this.timer.nowMs() - startMs;
      this.advance(TICK_MS / 2);
    }
    return condition() ? limitMs : undefined;
  }

  /**
   * Ends a daemon. With `isSilent`, its connections are not closed, as when a VM
   * disappears.
   */
  kill(vm: string, isSilent: boolean): void {
    this.daemon(vm).state = "dead";
    if (isSilent) return;
    for (const other of this.daemons) {
      if (other.vm === vm) continue;
      this.#deliver(vm, other.vm, () => {
        other.membership.connectionClosed(vm, this.timer.nowMs());
      });
    }
  }

  /** Restarts a dead daemon with a higher incarnation. */
  restart(vm: string): void {
    const daemon = this.daemon(vm);
    daemon.restartCount += 1;
    daemon.membership = this.#createMembership(daemon, daemon.restartCount);
    daemon.state = "running";
  }

  /** Pauses a daemon as SIGSTOP does; messages to it are queued. */
  pause(vm: string): void {
    this.daemon(vm).state = "paused";
  }

  /** Resumes a paused daemon and delivers the queued messages. */
  resume(vm: string): void {
    this.daemon(vm).state = "running";
    const deliveries = this.#pendingDeliveries.get(vm) ?? [];
    this.#pendingDeliveries.delete(vm);
    for (const action of deliveries) action();
  }

  /** Partitions each zone from all others; an empty list heals every cut. */
  cut(zones: readonly string[]): void {
    this.#cutZones = new Set(zones);
  }

  /** Drops all messages from one daemon to another, in this direction only. */
  blockLink(fromVm: string, toVm: string): void {
    this.#blockedLinks.add(`${fromVm}>${toVm}`);
  }

  /** Sets the byte counters to zero. */
  resetBytes(): void {
    for (const daemon of this.daemons) {
      daemon.sentBytes = 0;
      daemon.receivedBytes = 0;
    }
  }

  /** Sends the pending messages of a daemon, as after an external input. */
  flush(daemon: FakeDaemon): void {
    this.#scheduleAttachments(daemon);
    for (const message of daemon.membership.drainMessages()) {
      this.#send(daemon, message);
    }
  }

  #scheduleAttachments(daemon: FakeDaemon): void {
    const dueMs = daemon.membership.attachmentsDueMs;
    if (dueMs === undefined || daemon.hasAttachmentTimer) return;
    daemon.hasAttachmentTimer = true;
    this.timer.after(dueMs - this.timer.nowMs(), () => {
      daemon.hasAttachmentTimer = false;
      if (daemon.state !== "running") return;
      daemon.membership.sendAttachments(this.timer.nowMs());
      this.flush(daemon);
    });
  }

  #startDaemon(candidate: DaemonCandidate): void {
    const { vm, availabilityZone } = candidate;
    const daemon: FakeDaemon = {
      vm,
      availabilityZone,
      membership: this.#createMembership(candidate, 0),
      state: "running",
      sentBytes: 0,
      receivedBytes: 0,
      restartCount: 0,
      hasAttachmentTimer: false,
    };
    this.daemons.push(daemon);
    this.#byName.set(vm, daemon);
    const phaseMs = uniformInt(this.#random, 0, TICK_MS - 1);
    this.timer.after(phaseMs, () => {
      this.timer.every(TICK_MS, () => this.#tick(daemon));
    });
  }

  #createMembership(
    candidate: Pick<DaemonCandidate, "vm" | "availabilityZone">,
    restartCount: number,
  ): Membership {
    const membership = new Membership({
      vm: candidate.vm,
      availabilityZone: candidate.availabilityZone,
      incarnation: START_INCARNATION + restartCount * 1000,
      seeds: [],
      ...(this.#options.membership && { options: this.#options.membership }),
    });
    membership.applyList(this.list);
    return membership;
  }

  #tick(daemon: FakeDaemon): void {
    if (daemon.state !== "running") return;
    daemon.membership.tick(this.timer.nowMs());
    this.flush(daemon);
  }

  #send(from: FakeDaemon, message: OutgoingMessage): void {
    if (message.kind === "reset") return;
    if (message.kind === "notify") {
      const { method, params } = message;
      const sizeBytes = encodedBytes({ jsonrpc: "2.0", method, params });
      return this.#transmit(from, message.to, sizeBytes, (to) => {
        this.#receive(to, from.vm, message);
      });
    }
    const request = {
      jsonrpc: "2.0",
      id: 1000,
      method: PULL_METHOD,
      params: message.params,
    };
    this.#transmit(from, message.to, encodedBytes(request), (to) => {
      const deltas = to.membership.receivePull(
        from.vm,
        message.params,
        this.timer.nowMs(),
      );
      const response = { jsonrpc: "2.0", id: 1000, result: deltas };
      this.#transmit(to, from.vm, encodedBytes(response), (requester) => {
        requester.membership.receivePullResponse(
          to.vm,
          deltas,
          this.timer.nowMs(),
        );
      });
    });
  }

  #receive(
    to: FakeDaemon,
    from: string,
    message: OutgoingMessage & { kind: "notify" },
  ): void {
    const nowMs = this.timer.nowMs();
    const params = message.params as never;
    if (message.method === CHANGES_METHOD) {
      return to.membership.receiveChanges(from, params[0], nowMs);
    }
    to.membership.receiveHeartbeat(from, params, nowMs);
  }

  #transmit(
    from: FakeDaemon,
    toVm: string,
    sizeBytes: number,
    action: (to: FakeDaemon) => void,
  ): void {
    from.sentBytes += sizeBytes;
    this.#deliver(from.vm, toVm, (to) => {
      to.receivedBytes += sizeBytes;
      action(to);
    });
  }

  #deliver(
    fromVm: string,
    toVm: string,
    action: (to: FakeDaemon) => void,
  ): void {
    const from = this.daemon(fromVm);
    const to = this.daemon(toVm);
    const isWithinZone = from.availabilityZone === to.availabilityZone;
    if (!isWithinZone && this.#isCut(from, to)) return;
    const key = `${fromVm}>${toVm}`;
    if (this.#blockedLinks.has(key)) return;
    const link = this.#links.get(key) ??
      new FakeLink(this.#options.links, isWithinZone, this.#random);
    this.#links.set(key, link);
    const delayMs = link.computeArrivalMs(this.timer.nowMs()) -
      this.timer.nowMs();
    this.timer.after(delayMs, () => this.#arrive(to, () => action(to)));
  }

  #isCut(from: FakeDaemon, to: FakeDaemon): boolean {
    const cut = this.#cutZones;
    return cut.has(from.availabilityZone) || cut.has(to.availabilityZone);
  }

  #arrive(to: FakeDaemon, action: () => void): void {
    if (to.state === "dead") return;
    if (to.state === "paused") {
      const deliveries = this.#pendingDeliveries.get(to.vm) ?? [];
      deliveries.push(() => this.#arrive(to, action));
      this.#pendingDeliveries.set(to.vm, deliveries);
      return;
    }
    action();
    this.flush(to);
  }
}

function createList(options: FakeFleetOptions): FleetList {
  const daemons: DaemonCandidate[] = [];
  const targets: TargetCandidate[] = [];
  for (let zone = 0; zone < options.zones; zone++) {
    const availabilityZone = `zone-${zone}`;
    for (let i = 0; i < options.daemonsPerZone; i++) {
      const vm = `entry-${zone}-${i}`;
      daemons.push({ vm, availabilityZone, state: "live" });
    }
    for (let i = 0; i < (options.targetsPerZone ?? 0); i++) {
      const name = `target-${zone}-${i}`;
      targets.push({ name, availabilityZone, state: "live" });
    }
  }
  return { daemons, targets };
}

/** Returns the bytes of a message on the wire, including its newline. */
function encodedBytes(message: unknown): number {
  return Buffer.byteLength(JSON.stringify(message)) + 1;
}
