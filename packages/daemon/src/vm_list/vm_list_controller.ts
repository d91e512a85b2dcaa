import type { CancelTimer, TimerService } from "@coltsfootford/core";
import type { Vm, VmListClient } from "@coltsfootford/platform";
import type { Blackboard, FieldWriter } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";

/** Parts of the daemon that the controller uses. */
export interface VmListControllerParts {
  readonly blackboard: Blackboard;
  readonly client: VmListClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly pollMs: number;
}

/**
 * Polls the platform's VM list. It alone writes `vmList`; it reads no field.
 */
export class VmListController extends Controller {
  override readonly name = "vm-list";
  readonly #parts: VmListControllerParts;
  readonly #vmList: FieldWriter<readonly Vm[] | undefined>;
  #revision = -1;
  #isReachable = true;
  #cancelTimer: CancelTimer | undefined;

  constructor(parts: VmListControllerParts) {
    super();
    this.#parts = parts;
    this.#vmList = parts.blackboard.vmList.claimWriter(this.name);
  }

  override async start(): Promise<void> {
    const { timer, pollMs } = this.#parts;
    this.#cancelTimer = timer.every(pollMs, () => void this.#poll());
    await this.#poll();
  }

  override async stop(): Promise<void> {
    this.#cancelTimer?.();
    await this.#parts.client.close();
  }

  override dumpState(): unknown {
    return { revision: this.#revision, isReachable: this.#isReachable };
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
    this.#revision = answer.value.revision;
    const { vms, revision } = answer.value;
    this.#vmList.write(vms);
    this.#parts.logger.event("vmListApplied", { revision, vms: vms.length });
  }
}
