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
import { type LoadAnswer, LoadClient } from "./load_client.ts";
import type { MembershipController } from "./membership_controller.ts";

const POLL_MS = 1000;
/** Polls that must fail in a row before a target counts as dead. */
const FAILED_POLLS_OF_DEAD = 3;
/** Reports older than this belong to a poll that has failed since. */
const MAX_REPORT_AGE_MS = 1.5 * POLL_MS;
const RUN_RADIX = 36;

/** Method by which a prober tells a keeper the loads; a notification. */
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

/** Parts of the daemon that the controller uses. */
export interface TargetHealthControllerParts {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly membership: MembershipController;
  readonly peers: Peers;
  readonly timer: TimerService;
}

/**
 * Probes the targets that fall to this daemon: asks for their load and whether
 * they leave, tells the fleet of changes and their keepers of the loads. It
 * reads `targets`, `keepers` and `probers`, and alone writes `loadReports`.
 */
export class TargetHealthController extends Controller {
  override readonly name = "target-health";
  readonly #parts: TargetHealthControllerParts;
  readonly #client = new LoadClient();
  readonly #writer: FieldWriter<ReadonlyMap<string, LoadReport>>;
  readonly #polls = new Map<string, CancelTimer>();
  readonly #failedPolls = new Map<string, number>();
  readonly #down = new Set<string>();
  #reports = new Map<string, LoadReport>();
  readonly #cancels: (CancelTimer | CancelSubscription)[] = [];

  constructor(parts: TargetHealthControllerParts) {
    super();
    this.#parts = parts;
    this.#writer = parts.blackboard.loadReports.claimWriter(this.name);
  }

  override async start(): Promise<void> {
    const { blackboard, peers, timer } = this.#parts;
    peers.handle(LOADS_METHOD, loadsSchema, ([tuples]) => {
      this.#receiveReports(tuples);
    });
    this.#cancels.push(
      blackboard.probers.subscribe(() => this.#assign()),
      timer.every(POLL_MS, () => this.#sendReports()),
    );
    this.#assign();
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
   * Takes a target out of use until it starts anew: every daemon is told that
   * this run of it leaves.
   */
  async drain(name: string): Promise<Result<void, DrainError>> {
    const { blackboard, membership } = this.#parts;
    const target = blackboard.targets.read().get(name);
    if (!target) {
      const message = `target ${name} is not in the VM list; check the name`;
      return err(createStepError("unknown-target", "target.drain", message));
    }
    const answer = await this.#client.read(target);
    if (answer.isErr()) return err(answer.error);
    const run = nameRun(answer.value);
    membership.reportTarget(name, run, TARGET_CONDITION.leaving);
    return ok(undefined);
  }

  /** Starts and ends polls as the probers change. */
  #assign(): void {
    const { vm, blackboard, timer, membership } = this.#parts;
    const probed = new Set<string>();
    for (const [target, prober] of blackboard.probers.read()) {
      if (prober.vm === vm) probed.add(target);
    }
    for (const [target, cancel] of this.#polls) {
      if (!probed.has(target)) this.#drop(target, cancel);
    }
    for (const target of probed) {
      if (this.#polls.has(target)) continue;
      if (this.#isDoubtful(target)) this.#down.add(target);
      const poll = () => void this.#poll(target);
      this.#polls.set(target, timer.every(POLL_MS, poll));
      poll();
    }
    membership.reportDown([...this.#down]);
  }

  /** Whether a target must answer first: it was dead, or its zone is silent. */
  #isDoubtful(name: string): boolean {
    const { blackboard, membership } = this.#parts;
    const target = blackboard.targets.read().get(name);
    if (!target || target.state === "dead") return true;
    return !membership.isZoneReachable(target.availabilityZone);
  }

  #drop(target: string, cancel: CancelTimer): void {
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
    const target = this.#parts.blackboard.targets.read().get(name);
    if (!target) return;
    const answer = await this.#client.read(target);
    if (!this.#polls.has(name)) return;
    if (answer.isErr()) return this.#noteFailure(target);
    this.#failedPolls.delete(name);
    this.#noteAnswer(target, answer.value);
  }

  #noteAnswer(target: TargetView, answer: LoadAnswer): void {
    const { membership, timer } = this.#parts;
    const run = nameRun(answer);
    const condition = answer.leaving
      ? TARGET_CONDITION.leaving
      : TARGET_CONDITION.live;
    membership.reportTarget(target.name, run, condition);
    if (this.#down.delete(target.name)) membership.reportDown([...this.#down]);
    this.#reports = new Map(this.#reports).set(target.name, {
      target: target.name,
      runningRequests: answer.running_requests,
      waitingRequests: answer.waiting_requests,
      runningTokens: answer.running_tokens,
      receivedAtMs: timer.nowMs(),
    });
    this.#writer.write(this.#reports);
  }

  #noteFailure(target: TargetView): void {
    const { membership } = this.#parts;
    const failed = (this.#failedPolls.get(target.name) ?? 0) + 1;
    this.#failedPolls.set(target.name, failed);
    const isSilent = !membership.isZoneReachable(target.availabilityZone);
    if (failed < FAILED_POLLS_OF_DEAD && !isSilent) return;
    this.#down.add(target.name);
    membership.reportDown([...this.#down]);
  }

  #sendReports(): void {
    const { vm, blackboard, peers, timer } = this.#parts;
    const owners = blackboard.owners.read();
    const byOwner = new Map<string, LoadTuple[]>();
    for (const report of this.#reports.values()) {
      const owner = owners.get(report.target)?.vm;
      const isOwn = this.#polls.has(report.target);
      if (owner === undefined || owner === vm || !isOwn) continue;
      const ageMs = timer.nowMs() - report.receivedAtMs;
      // An older report was sent before, and a target that fails has no newer.
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

  /** Takes the reports of targets that another daemon probes for this one. */
  #receiveReports(tuples: readonly LoadTuple[]): void {
    const { blackboard, timer, vm } = this.#parts;
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

/** A short name of the run of a target that gave this answer. */
function nameRun(answer: LoadAnswer): string {
  return hash32(answer.incarnation).toString(RUN_RADIX);
}
