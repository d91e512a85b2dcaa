import type { Admission, Run, RunSummary } from "@coltsfootford/standins";
import { request } from "undici";

const STATUS_OK = 200;

/** What the stand-ins of one process know. */
export interface Truth {
  readonly runs: Run[];
  readonly admissions: Admission[];
  readonly summary: RunSummary;
  readonly standIns: Record<string, Record<string, unknown>>;
}

/** Speaks to the control port of a stand-in process. */
export class StandInClient {
  readonly #baseUrl: string;

  constructor(controlPort: number) {
    this.#baseUrl = `http://127.0.0.1:${controlPort}`;
  }

  /** Reads the whole truth. */
  async readTruth(): Promise<Truth> {
    return await this.#call("GET", "/truth") as Truth;
  }

  /** Reads one part of the truth. */
  async read<Part extends keyof Truth>(part: Part): Promise<Truth[Part]> {
    const truth = await this.#call("GET", `/truth?part=${part}`) as Truth;
    return truth[part];
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
    const answer = await response.body.json();
    if (response.statusCode === STATUS_OK) return answer;
    throw new Error(`${method} ${path}: ${JSON.stringify(answer)}`);
  }
}
