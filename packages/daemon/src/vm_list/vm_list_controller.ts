import type { CancelTimer, TimerService } from "@coltsfootford/core";
import type { Vm, VmListClient } from "@coltsfootford/platform";
import type {
  Blackboard,
  DaemonView,
  FieldWriter,
  TargetView,
} from "../blackboard/index.ts";
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
 * Polls the platform's VM list. It alone writes `targets` and `daemons`; it
 * reads no field.
 */
export class VmListController extends Controller {
  override readonly name = "vm-list";
  readonly #parts: VmListControllerParts;
  readonly #targets: FieldWriter<ReadonlyMap<string, TargetView>>;
  readonly #daemons: FieldWriter<ReadonlyMap<string, DaemonView>>;
  #revision = -1;
  #isReachable = true;
  #cancelTimer: CancelTimer | undefined;

  constructor(parts: VmListControllerParts) {
    super();
    this.#parts = parts;
    this.#targets = parts.blackboard.targets.claimWriter(this.name);
    this.#daemons = parts.blackboard.daemons.claimWriter(this.name);
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
    this.#apply(answer.value.vms);
  }

  #apply(vms: readonly Vm[]): void {
    const targets = new Map<string, TargetView>();
    const daemons = new Map<string, DaemonView>();
    for (const vm of vms) {
      if (vm.role === "target") targets.set(vm.name, toTargetView(vm));
      else daemons.set(vm.name, toDaemonView(vm));
    }
    this.#targets.write(targets);
    this.#daemons.write(daemons);
    this.#parts.logger.event("vmListApplied", {
      revision: this.#revision,
      targets: targets.size,
      daemons: daemons.size,
    });
  }
}

function toTargetView(vm: Vm): TargetView {
  const { name, availabilityZone, host, port, state } = vm;
  return { name, availabilityZone, pool: vm.pool ?? "", host, port, state };
}

function toDaemonView(vm: Vm): DaemonView {
  const { name, availabilityZone, host, state } = vm;
  const peerPort = vm.peerPort ?? 0;
  return { vm: name, availabilityZone, host, peerPort, state };
}
