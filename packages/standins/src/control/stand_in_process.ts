import { startModelEngine } from "../engine/index.ts";
import type { HttpListener } from "../http/index.ts";
import { startKeyValueService } from "../platform/index.ts";
import { startPlainService } from "../service/index.ts";
import type { StandIn } from "../stand_in.ts";
import { SharedTruth } from "../truth/index.ts";
import { startVmList } from "../vm_list/index.ts";
import { startWeightStore } from "../weights/index.ts";
import { startControlPort } from "./control_port.ts";
import {
  type ProcessSettings,
  processSettingsSchema,
} from "./process_settings.ts";

/** The line that a process prints after all its ports are open. */
export interface ReadyEvent {
  readonly event: "ready";
  readonly controlPort: number;
  /** Port of each stand-in, by name. */
  readonly ports: Record<string, number>;
}

/** All stand-ins of one process and their shared ground truth. */
export class StandInProcess {
  readonly truth = new SharedTruth();
  readonly standIns = new Map<string, StandIn>();
  #control: HttpListener | undefined;

  /**
   * Starts all stand-ins of the settings, then the control port.
   *
   * @throws z.ZodError if a setting is invalid, the error of the system if a
   * port is in use, and Error if two stand-ins have the same name.
   */
  static async start(settings: ProcessSettings): Promise<StandInProcess> {
    const parsed = processSettingsSchema.parse(settings);
    const process = new StandInProcess();
    const { truth } = process;
    for (const options of parsed.engines) {
      process.#add(await startModelEngine(options, truth));
    }
    for (const options of parsed.services) {
      process.#add(await startPlainService(options, truth));
    }
    for (const options of parsed.platforms) {
      process.#add(await startKeyValueService(options));
    }
    for (const options of parsed.vmLists) {
      process.#add(await startVmList(options));
    }
    for (const options of parsed.weightStores) {
      process.#add(await startWeightStore(options));
    }
    process.#control = await startControlPort(process, parsed.control);
    return process;
  }

  get readyEvent(): ReadyEvent {
    return {
      event: "ready",
      controlPort: this.#control?.port ?? 0,
      ports: Object.fromEntries(
        [...this.standIns].map(([name, standIn]) => [name, standIn.port]),
      ),
    };
  }

  async close(): Promise<void> {
    for (const standIn of this.standIns.values()) await standIn.close();
    await this.#control?.close();
  }

  #add(standIn: StandIn): void {
    if (this.standIns.has(standIn.name)) {
      throw new Error(`name: two stand-ins are called ${standIn.name}`);
    }
    this.standIns.set(standIn.name, standIn);
  }
}
