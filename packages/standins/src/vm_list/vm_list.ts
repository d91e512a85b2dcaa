import { Hono } from "hono";
import { HttpListener, type NodeEnv } from "../http/index.ts";
import { StandIn } from "../stand_in.ts";
import { monotonicMs } from "../truth/index.ts";
import {
  type Vm,
  type VmListChange,
  vmListChangeSchema,
  type VmListOptions,
  vmListOptionsSchema,
  type VmListSettings,
} from "./vm_list_options.ts";

interface VmListVersion {
  readonly revision: number;
  readonly vms: readonly Vm[];
  readonly atMs: number;
}

/** Stand-in of the platform's list of live and leaving VMs, with a lag. */
export class VmList extends StandIn {
  override readonly name: string;
  readonly #app = new Hono<NodeEnv>();
  /** Oldest first; versions before the visible one are dropped. */
  readonly #versions: VmListVersion[];
  #lagMs: number;
  #reads = 0;
  #listener: HttpListener | undefined;

  private constructor(options: VmListOptions) {
    super();
    this.name = options.name;
    this.#lagMs = options.lagMs;
    this.#versions = [{ revision: 1, vms: options.vms, atMs: -Infinity }];
    this.#app.get("/v1/vms", (context) => {
      this.#reads += 1;
      const { revision, vms } = this.#visibleVersion();
      return context.json({ revision, vms });
    });
  }

  /** Starts a VM list; the VMs of its settings are visible immediately. */
  static async start(settings: VmListSettings): Promise<VmList> {
    const options = vmListOptionsSchema.parse(settings);
    const list = new VmList(options);
    const { host, port } = options;
    list.#listener = await HttpListener.start({ app: list.#app, host, port });
    return list;
  }

  override get port(): number {
    return this.#listener?.port ?? 0;
  }

  override async applyFaults(change: unknown): Promise<void> {
    const parsed = vmListChangeSchema.parse(change);
    this.#lagMs = parsed.lagMs ?? this.#lagMs;
    if (parsed.down === true) await this.#listener?.close();
    if (parsed.down === false) await this.#listener?.open();
    this.#addVersion(applyChange(this.#latest().vms, parsed));
  }

  override describeTruth(): Record<string, unknown> {
    const { revision, vms } = this.#latest();
    return { kind: "vm-list", revision, vms, reads: this.#reads };
  }

  override async reset(): Promise<void> {
    this.#reads = 0;
    await this.#listener?.open();
  }

  override async close(): Promise<void> {
    await this.#listener?.close();
  }

  #latest(): VmListVersion {
    return this.#versions.at(-1) as VmListVersion;
  }

  #addVersion(vms: readonly Vm[]): void {
    const { revision, vms: currentVms } = this.#latest();
    if (JSON.stringify(vms) === JSON.stringify(currentVms)) return;
    this.#versions.push({ revision: revision + 1, vms, atMs: monotonicMs() });
  }

  /** The version that clients receive now: the latest as of `#lagMs` ago. */
  #visibleVersion(): VmListVersion {
    const asOfMs = monotonicMs() - this.#lagMs;
    while ((this.#versions[1]?.atMs ?? Infinity) <= asOfMs) {
      this.#versions.shift();
    }
    return this.#versions[0] as VmListVersion;
  }
}

function applyChange(vms: readonly Vm[], change: VmListChange): readonly Vm[] {
  const byName = new Map((change.vms ?? vms).map((vm) => [vm.name, vm]));
  for (const vm of change.upsert ?? []) byName.set(vm.name, vm);
  for (const [name, state] of Object.entries(change.states ?? {})) {
    const vm = byName.get(name);
    if (vm) byName.set(name, { ...vm, state });
  }
  for (const name of change.remove ?? []) byName.delete(name);
  return [...byName.values()];
}

/** Starts a VM list. */
export function startVmList(settings: VmListSettings = {}): Promise<VmList> {
  return VmList.start(settings);
}
