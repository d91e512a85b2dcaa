import type { CancelTimer, TimerService } from "@coltsfootford/core";
import type { Vm, VmListClient } from "@coltsfootford/key-value";
import type { Blackboard, FieldWriter } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";

/** Time between reads until a first one succeeds. */
const FIRST_READ_RETRY_MS = 500;

/** Parts of the daemon that the controller uses. */
export interface VmListControllerParts {
  readonly blackboard: Blackboard;
  readonly client: VmListClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly pollMs: number;
}

/**
 * Polls the platform's VM list. It alone writes `vmList`; it reads no field. A
 * list without any VM is a fault of the platform, and what was read before
 * stays in force.
 */
export class VmListController extends Controller {
  override readonly name = "vm-list";
  readonly #parts: VmListControllerParts;
  readonly #vmList: FieldWriter<readonly Vm[] | undefined>;
  #revision = -1;
  #isReachable = true;
  #cancelTimer: CancelTimer | undefined;
  #isStopped = false;

  constructor(parts: VmListControllerParts) {
    super();
    this.#parts = parts;
    this.#vmList = parts.blackboard.vmList.claimWriter(this.name);
  }

  override async start(): Promise<void> {
    await this.#pollOn();
  }

  override async stop(): Promise<void> {
    this.#isStopped = true;
    this.#cancelTimer?.();
    await this.#parts.client.close();
  }

  override dumpState(): unknown {
    return { revision: this.#revision, isReachable: this.#isReachable };
  }

  /** Polls now and goes on doing so until the controller is stopped. */
  async #pollOn(): Promise<void> {
    await this.#poll();
    if (this.#isStopped) return;
    const { timer, pollMs } = this.#parts;
    const waitMs = this.#revision < 0 ? FIRST_READ_RETRY_MS : pollMs;
    this.#cancelTimer = timer.after(waitMs, () => void this.#pollOn());
  }

  async #poll(): Promise<void> {
    const answer = await this.#parts.client.poll();
    if (answer.isErr()) {
      if (this.#isReachable) {
        const { message } = answer.error;
        this.#parts.logger.event("vmListUnreachable", { message });
      }
      this.#isReachable = false;
      return;
    }
    this.#isReachable = true;
    if (answer.value.revision === this.#revision) return;
    const isEmpty = answer.value.vms.length === 0;
    if (isEmpty && this.#parts.blackboard.vmList.read()) return;
    this.#revision = answer.value.revision;
    const { vms, revision } = answer.value;
    this.#vmList.write(vms);
    this.#parts.logger.event("vmListApplied", { revision, vms: vms.length });
  }
}
