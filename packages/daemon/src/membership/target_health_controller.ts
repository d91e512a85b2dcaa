import {
  type CancelTimer,
  createStepError,
  hash32,
  type StepError,
  TARGET_CONDITION,
  type TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type {
  Blackboard,
  CancelSubscription,
  FieldWriter,
  LoadReport,
  TargetView,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import { type LoadAnswer, LoadClient } from "./load_client.ts";
import type { MembershipController } from "./membership_controller.ts";

const POLL_MS = 1000;
/** Polls that must fail in a row before a target counts as dead. */
const FAILED_POLLS_OF_DEAD = 3;
const RUN_RADIX = 36;

/** Why a target could not be drained. */
export type DrainError = StepError<
  "unknown-target" | "unreachable" | "invalid-answer"
>;

/** Parts of the daemon that the controller uses. */
export interface TargetHealthControllerParts {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly membership: MembershipController;
  readonly timer: TimerService;
}

/**
 * Asks the targets that this daemon keeps for their load and whether they
 * leave, and tells the fleet of changes. It reads `targets` and `keepers`,
 * and alone writes `loadReports`.
 */
export class TargetHealthController extends Controller {
  override readonly name = "target-health";
  readonly #parts: TargetHealthControllerParts;
  readonly #client = new LoadClient();
  readonly #writer: FieldWriter<ReadonlyMap<string, LoadReport>>;
  readonly #polls = new Map<string, CancelTimer>();
  readonly #failedPolls = new Map<string, number>();
  #reports = new Map<string, LoadReport>();
  #cancel: CancelSubscription | undefined;

  constructor(parts: TargetHealthControllerParts) {
    super();
    this.#parts = parts;
    this.#writer = parts.blackboard.loadReports.claimWriter(this.name);
  }

  override async start(): Promise<void> {
    const { blackboard } = this.#parts;
    this.#cancel = blackboard.keepers.subscribe(() => this.#assign());
    this.#assign();
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.#cancel?.();
    for (const cancel of this.#polls.values()) cancel();
    await this.#client.close();
  }

  override dumpState(): unknown {
    return {
      kept: [...this.#polls.keys()],
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

  /** Starts and ends polls as the keepers change. */
  #assign(): void {
    const { vm, blackboard, timer } = this.#parts;
    const kept = new Set<string>();
    for (const [target, keeper] of blackboard.keepers.read()) {
      if (keeper.vm === vm) kept.add(target);
    }
    for (const [target, cancel] of this.#polls) {
      if (!kept.has(target)) this.#drop(target, cancel);
    }
    for (const target of kept) {
      if (this.#polls.has(target)) continue;
      const poll = () => void this.#poll(target);
      this.#polls.set(target, timer.every(POLL_MS, poll));
      poll();
    }
  }

  #drop(target: string, cancel: CancelTimer): void {
    cancel();
    this.#polls.delete(target);
    this.#failedPolls.delete(target);
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
    if (failed < FAILED_POLLS_OF_DEAD) return;
    const run = membership.targetRun(target.name);
    membership.reportTarget(target.name, run, TARGET_CONDITION.dead);
  }
}

/** A short name of the run of a target that gave this answer. */
function nameRun(answer: LoadAnswer): string {
  return hash32(answer.incarnation).toString(RUN_RADIX);
}
