import type { EngineSettings, Message, Run } from "@coltsfootford/standins";
import {
  Caller,
  type CallResult,
  type ChatCall,
  Fleet,
  SMALL_PLAN,
  waitUntil,
} from "../harness/index.ts";

/** The engines of the small plan. */
export const ENGINES = ["writer-1", "writer-2", "writer-3"] as const;

/** The services of the small plan. */
export const SERVICES = ["desk-1", "desk-2"] as const;

const MAX_TOKENS = 40;

/** A small fleet of processes with a caller before it. */
export class AnswerFixture {
  readonly fleet: Fleet;
  readonly caller = new Caller();
  #chats = 0;

  private constructor(fleet: Fleet) {
    this.fleet = fleet;
  }

  /** Starts the small plan; `settings` go to all of its engines. */
  static async start(
    settings: Partial<EngineSettings> = {},
  ): Promise<AnswerFixture> {
    const pools = SMALL_PLAN.pools.map((pool) =>
      pool.kind === "engine"
        ? { ...pool, settings: { ...pool.settings, ...settings } }
        : pool
    );
    return new AnswerFixture(await Fleet.start({ ...SMALL_PLAN, pools }));
  }

  async stop(): Promise<void> {
    await this.caller.close();
    await this.fleet.stop();
  }

  /** A chat that no other test has. */
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

  ask(call: ChatCall): Promise<CallResult> {
    return this.caller.chat(this.url, call);
  }

  get url(): string {
    return this.fleet.daemon("entry-1").url;
  }

  /** The runs of one chat, oldest first. */
  async runsOf(call: ChatCall): Promise<Run[]> {
    const runs = await this.fleet.targets.read("runs");
    return runs.filter((run) => run.chat === call.chat);
  }

  /** Asks once and returns the engine to which the chat will come back. */
  async findHome(call: ChatCall): Promise<string> {
    await this.ask(call);
    const [run] = await this.runsOf(call);
    if (!run) throw new Error(`no engine ran ${call.chat}`);
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
    await waitUntil("an answer without faults", async () => {
      const result = await this.ask(this.createCall(false, 1));
      return result.isOwnAndWhole;
    });
  }
}
