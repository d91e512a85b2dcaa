import type { Admission, Run, RunSummary } from "@coltsfootford/standins";
import { request } from "undici";

const STATUS_OK = 200;

/** Executions, admissions and state that one process of stand-ins recorded. */
export interface StandInRecords {
  readonly runs: Run[];
  readonly admissions: Admission[];
  readonly summary: RunSummary;
  readonly standIns: Record<string, Record<string, unknown>>;
}

/** Client of the control port of a stand-in process. */
export class StandInClient {
  readonly #baseUrl: string;

  constructor(controlPort: number) {
    this.#baseUrl = `http://127.0.0.1:${controlPort}`;
  }

  /** Reads all records. */
  async readRecords(): Promise<StandInRecords> {
    return await this.#call("GET", "/truth") as StandInRecords;
  }

  /** Reads one part of the records. */
  async read<Part extends keyof StandInRecords>(
    part: Part,
  ): Promise<StandInRecords[Part]> {
    const records = await this.#call(
      "GET",
      `/truth?part=${part}`,
    ) as StandInRecords;
    return records[part];
  }

  /** Merges faults into those of one stand-in. */
  async setFaults(standIn: string, faults: object): Promise<void> {
    await this.#call("POST", "/faults", { standIn, ...faults });
  }

  /** Clears all faults and records of the process. */
  async reset(): Promise<void> {
    await this.#call("POST", "/reset");
  }

  async #call(
    method: "GET" | "POST",
    path: string,
    body?: object,
  ): Promise<unknown> {
    const response = await request(this.#baseUrl + path, {
      method,
      ...(body ? { body: JSON.stringify(body) } : {}),
    });
    const responseBody = await response.body.json();
    if (response.statusCode === STATUS_OK) return responseBody;
    throw new Error(`${method} ${path}: ${JSON.stringify(responseBody)}`);
  }
}
