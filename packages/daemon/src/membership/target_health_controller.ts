import {
  type CancelTimer,
  createStepError,
  hash32,
  type StepError,
  TARGET_CONDITION,
  type TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type {
  Blackboard,
  CancelSubscription,
  FieldWriter,
  LoadReport,
  TargetView,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Peers } from "../peers/index.ts";
import { LoadClient, type LoadResponse } from "./load_client.ts";
import type { MembershipController } from "./membership_controller.ts";

const POLL_PERIOD_MS = 1000;
/** Consecutive failed polls after which a target counts as dead. */
const DEAD_AFTER_FAILED_POLLS = 3;
/** An older report means that a later poll of the target has failed. */
const MAX_REPORT_AGE_MS = 1.5 * POLL_PERIOD_MS;
const INCARNATION_RADIX = 36;

/** Notification by which a prober sends the loads of targets to their owner. */
const LOADS_METHOD = "tl";

/** Target, running requests, waiting requests, running tokens, age in ms. */
const loadTupleSchema = z.tuple([
  z.string().min(1),
  z.number().nonnegative(),
  z.number().nonnegative(),
  z.number().nonnegative(),
  z.int().nonnegative(),
]);
const loadsSchema = z.tuple([z.array(loadTupleSchema)]);
type LoadTuple = z.infer<typeof loadTupleSchema>;

/** Why a target could not be drained. */
export type DrainError = StepError<
  "unknown-target" | "unreachable" | "invalid-answer"
>;

/** The dependencies of a `TargetHealthController`. */
export interface TargetHealthControllerDependencies {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly membership: MembershipController;
  readonly peers: Peers;
  readonly timer: TimerService;
}

/**
 * Probes the targets that are assigned to this daemon: queries their load and
 * whether they are leaving, reports changes to the fleet and the loads to the
 * owners. The controller reads `targets`, `owners` and `probers`, and is the
 * only writer of `loadReports`.
 */
export class TargetHealthController extends Controller {
  override readonly name = "target-health";
  readonly #dependencies: TargetHealthControllerDependencies;
  readonly #client = new LoadClient();
  readonly #writer: FieldWriter<ReadonlyMap<string, LoadReport>>;
  readonly #polls = new Map<string, CancelTimer>();
  readonly #failedPolls = new Map<string, number>();
  readonly #down = new Set<string>();
  #reports = new Map<string, LoadReport>();
  readonly #cancels: (CancelTimer | CancelSubscription)[] = [];

  constructor(dependencies: TargetHealthControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#writer = dependencies.blackboard.loadReports.claimWriter(this.name);
  }

  override async start(): Promise<void> {
    const { blackboard, peers, timer } = this.#dependencies;
    peers.handle(LOADS_METHOD, loadsSchema, ([tuples]) => {
      this.#receiveReports(tuples);
    });
    this.#cancels.push(
      blackboard.probers.subscribe(() => this.#updatePolls()),
      timer.every(POLL_PERIOD_MS, () => this.#sendReports()),
    );
    this.#updatePolls();
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    for (const cancel of this.#cancels) cancel();
    for (const cancel of this.#polls.values()) cancel();
    await this.#client.close();
  }

  override dumpState(): unknown {
    return {
      probed: [...this.#polls.keys()],
      down: [...this.#down],
      failedPolls: Object.fromEntries(this.#failedPolls),
      reports: [...this.#reports.values()],
      traffic: this.#client.traffic(),
    };
  }

  /**
   * Takes a target out of service until it restarts: reports its current
   * incarnation as leaving to every daemon.
   */
  async drain(name: string): Promise<Result<void, DrainError>> {
    const { blackboard, membership } = this.#dependencies;
    const target = blackboard.targets.read().get(name);
    if (!target) {
      const message = `target ${name} is not in the VM list; check the name`;
      return err(createStepError("unknown-target", "target.drain", message));
    }
    const response = await this.#client.fetchLoad(target);
    if (response.isErr()) return err(response.error);
    const incarnation = encodeIncarnation(response.value);
    membership.reportTarget(name, incarnation, TARGET_CONDITION.leaving);
    return ok(undefined);
  }

  /**
   * Reports a target whose response stated that this incarnation leaves. A later
   * incarnation that is already known is not affected.
   */
  onLeaving(target: string, incarnation: string): void {
    this.#dependencies.membership.reportLeavingTarget(
      target,
      hashIncarnation(incarnation),
    );
  }

  /** Starts and stops polls when the assignment of probers changes. */
  #updatePolls(): void {
    const { vm, blackboard, timer, membership } = this.#dependencies;
    const probed = new Set<string>();
    for (const [target, prober] of blackboard.probers.read()) {
      if (prober.vm === vm) probed.add(target);
    }
    for (const [target, cancel] of this.#polls) {
      if (!probed.has(target)) this.#stopPolling(target, cancel);
    }
    for (const target of probed) {
      if (this.#polls.has(target)) continue;
      if (this.#isDownUntilResponse(target)) this.#down.add(target);
      const poll = () => void this.#poll(target);
      this.#polls.set(target, timer.every(POLL_PERIOD_MS, poll));
      poll();
    }
    membership.reportDown([...this.#down]);
  }

  /**
   * Whether a target counts as down until it responds: it was dead before, or
   * its zone is unreachable.
   */
  #isDownUntilResponse(name: string): boolean {
    const { blackboard, membership } = this.#dependencies;
    const target = blackboard.targets.read().get(name);
    if (!target || target.state === "dead") return true;
    return !membership.isZoneReachable(target.availabilityZone);
  }

  #stopPolling(target: string, cancel: CancelTimer): void {
    cancel();
    this.#polls.delete(target);
    this.#failedPolls.delete(target);
    this.#down.delete(target);
    if (!this.#reports.has(target)) return;
    this.#reports = new Map(this.#reports);
    this.#reports.delete(target);
    this.#writer.write(this.#reports);
  }

  async #poll(name: string): Promise<void> {
    const target = this.#dependencies.blackboard.targets.read().get(name);
    if (!target) return;
    const response = await this.#client.fetchLoad(target);
    if (!this.#polls.has(name)) return;
    if (response.isErr()) return this.#recordFailedPoll(target);
    this.#failedPolls.delete(name);
    this.#recordResponse(target, response.value);
  }

  #recordResponse(target: TargetView, response: LoadResponse): void {
    const { membership, timer } = this.#dependencies;
    const incarnation = encodeIncarnation(response);
    const condition = response.leaving
      ? TARGET_CONDITION.leaving
      : TARGET_CONDITION.live;
    membership.reportTarget(target.name, incarnation, condition);
    if (this.#down.delete(target.name)) membership.reportDown([...this.#down]);
    this.#reports = new Map(this.#reports).set(target.name, {
      target: target.name,
      runningRequests: response.running_requests,
      waitingRequests: response.waiting_requests,
      runningTokens: response.running_tokens,
      receivedAtMs: timer.nowMs(),
    });
    this.#writer.write(this.#reports);
  }

  #recordFailedPoll(target: TargetView): void {
    const { membership } = this.#dependencies;
    const failed = (this.#failedPolls.get(target.name) ?? 0) + 1;
    this.#failedPolls.set(target.name, failed);
    const isZoneUnreachable = !membership.isZoneReachable(
      target.availabilityZone,
    );
    if (failed < DEAD_AFTER_FAILED_POLLS && !isZoneUnreachable) return;
    this.#down.add(target.name);
    membership.reportDown([...this.#down]);
  }

  #sendReports(): void {
    const { vm, blackboard, peers, timer } = this.#dependencies;
    const owners = blackboard.owners.read();
    const byOwner = new Map<string, LoadTuple[]>();
    for (const report of this.#reports.values()) {
      const owner = owners.get(report.target)?.vm;
      const isProbedHere = this.#polls.has(report.target);
      if (owner === undefined || owner === vm || !isProbedHere) continue;
      const ageMs = timer.nowMs() - report.receivedAtMs;
      // An older report was already sent; there is no newer one because the
      // polls of the target fail.
      if (ageMs > MAX_REPORT_AGE_MS) continue;
      const tuples = byOwner.get(owner) ?? [];
      byOwner.set(owner, tuples);
      tuples.push([
        report.target,
        report.runningRequests,
        report.waitingRequests,
        report.runningTokens,
        Math.ceil(ageMs),
      ]);
    }
    for (const [owner, tuples] of byOwner) {
      peers.notify(owner, LOADS_METHOD, [tuples]);
    }
  }

  /** Applies reports on targets that this daemon owns and another probes. */
  #receiveReports(tuples: readonly LoadTuple[]): void {
    const { blackboard, timer, vm } = this.#dependencies;
    const owners = blackboard.owners.read();
    this.#reports = new Map(this.#reports);
    for (const [target, running, waiting, tokens, ageMs] of tuples) {
      if (owners.get(target)?.vm !== vm) continue;
      this.#reports.set(target, {
        target,
        runningRequests: running,
        waitingRequests: waiting,
        runningTokens: tokens,
        receivedAtMs: timer.nowMs() - ageMs,
      });
    }
    this.#writer.write(this.#reports);
  }
}

/** A short hash of the incarnation of the target that sent `response`. */
function encodeIncarnation(response: LoadResponse): string {
  return hashIncarnation(response.incarnation);
}

function hashIncarnation(incarnation: string): string {
  return hash32(incarnation).toString(INCARNATION_RADIX);
}
