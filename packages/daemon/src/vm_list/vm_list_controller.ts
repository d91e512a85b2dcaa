import type { CancelTimer, TimerService } from "@coltsfootford/core";
import type { Vm, VmListClient } from "@coltsfootford/key-value";
import type { Blackboard, FieldWriter } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";

/** Retry interval until the first read succeeds. */
const FIRST_READ_RETRY_MS = 500;

export interface VmListControllerDependencies {
  readonly blackboard: Blackboard;
  readonly client: VmListClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly pollMs: number;
}

/**
 * Polls the platform's VM list. It is the only writer of the blackboard field
 * `vmList` and reads no other field. An empty list is treated as an error of the
 * platform, and the previous list stays in force.
 */
export class VmListController extends Controller {
  override readonly name = "vm-list";
  readonly #dependencies: VmListControllerDependencies;
  readonly #vmList: FieldWriter<readonly Vm[] | undefined>;
  #revision = -1;
  #isReachable = true;
  #cancelTimer: CancelTimer | undefined;
  #isStopped = false;

  constructor(dependencies: VmListControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#vmList = dependencies.blackboard.vmList.claimWriter(this.name);
  }

  override async start(): Promise<void> {
    await this.#pollRepeatedly();
  }

  override async stop(): Promise<void> {
    this.#isStopped = true;
    this.#cancelTimer?.();
    await this.#dependencies.client.close();
  }

  override dumpState(): unknown {
    return { revision: this.#revision, isReachable: this.#isReachable };
  }

  /** Polls now and repeatedly until the controller is stopped. */
  async #pollRepeatedly(): Promise<void> {
    await this.#poll();
    if (this.#isStopped) return;
    const { timer, pollMs } = this.#dependencies;
    const waitMs = this.#revision < 0 ? FIRST_READ_RETRY_MS : pollMs;
    this.#cancelTimer = timer.after(waitMs, () => void this.#pollRepeatedly());
  }

  async #poll(): Promise<void> {
    const response = await this.#dependencies.client.poll();
    if (response.isErr()) {
      if (this.#isReachable) {
        const { message } = response.error;
        this.#dependencies.logger.event("vmListUnreachable", { message });
      }
      this.#isReachable = false;
      return;
    }
    this.#isReachable = true;
    if (response.value.revision === this.#revision) return;
    const isEmpty = response.value.vms.length === 0;
    if (isEmpty && this.#dependencies.blackboard.vmList.read()) return;
    this.#revision = response.value.revision;
    const { vms, revision } = response.value;
    this.#vmList.write(vms);
    this.#dependencies.logger.event("vmListApplied", {
      revision,
      vms: vms.length,
    });
  }
}
