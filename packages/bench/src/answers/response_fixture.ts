import type { EngineSettings, Message, Run } from "@coltsfootford/standins";
import {
  type CallResult,
  type ChatCall,
  Fleet,
  FleetClient,
  SMALL_PLAN,
  waitUntil,
} from "../harness/index.ts";

/** The engines of the small plan. */
export const ENGINES = ["writer-1", "writer-2", "writer-3"] as const;

/** The services of the small plan. */
export const SERVICES = ["desk-1", "desk-2"] as const;

const MAX_TOKENS = 40;

/** A small fleet of processes and a client that sends requests to it. */
export class ResponseFixture {
  readonly fleet: Fleet;
  readonly client = new FleetClient();
  #chats = 0;

  private constructor(fleet: Fleet) {
    this.fleet = fleet;
  }

  /** Starts the small plan. All of its engines get `settings`. */
  static async start(
    settings: Partial<EngineSettings> = {},
  ): Promise<ResponseFixture> {
    const pools = SMALL_PLAN.pools.map((pool) =>
      pool.kind === "engine"
        ? { ...pool, settings: { ...pool.settings, ...settings } }
        : pool
    );
    return new ResponseFixture(await Fleet.start({ ...SMALL_PLAN, pools }));
  }

  async stop(): Promise<void> {
    await this.client.close();
    await this.fleet.stop();
  }

  /** Creates a call of a new chat. */
  createCall(isStream: boolean, maxTokens = MAX_TOKENS): ChatCall {
    this.#chats += 1;
    const chat = `chat-${this.#chats}`;
    const messages: Message[] = [{ role: "user", content: `Ask of ${chat}` }];
    return {
      team: "lots",
      chat,
      model: "writer",
      messages,
      maxTokens,
      isStream,
    };
  }

  send(call: ChatCall): Promise<CallResult> {
    return this.client.chat(this.url, call);
  }

  get url(): string {
    return this.fleet.daemon("entry-1").url;
  }

  /** The executions of a chat's requests at the engines, oldest first. */
  async executionsOf(call: ChatCall): Promise<Run[]> {
    const runs = await this.fleet.targets.read("runs");
    return runs.filter((run) => run.chat === call.chat);
  }

  /** Sends the call once and returns the preferred engine of its chat. */
  async findPreferredTarget(call: ChatCall): Promise<string> {
    await this.send(call);
    const [run] = await this.executionsOf(call);
    if (!run) throw new Error(`no engine executed a request of ${call.chat}`);
    return run.target;
  }

  /** Sets the same faults on every engine. */
  async setAllFaults(faults: object): Promise<void> {
    for (const engine of ENGINES) {
      await this.fleet.targets.setFaults(engine, faults);
    }
  }

  /** Clears all faults and waits until daemons use every engine again. */
  async clearFaults(): Promise<void> {
    await this.fleet.targets.reset();
    await waitUntil("a response without faults", async () => {
      const result = await this.send(this.createCall(false, 1));
      return result.isOwnAndComplete;
    });
  }
}
