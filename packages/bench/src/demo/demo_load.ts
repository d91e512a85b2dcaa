import { expectedCompletion, type Message } from "@coltsfootford/standins";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type CallResult, type Fleet, FleetClient } from "../harness/index.ts";
import type { DemoDeployment, DemoOptions } from "./demo_options.ts";

const INVENTORY_LINES = 60;
const MIN_COMPLETION_TOKENS = 16;
const MAX_COMPLETION_TOKENS = 64;
/** One in this many bookings is sent again, as after a lost response. */
const RESEND_PERIOD = 5;

/** Results that the clients of a demo observed. */
export interface DemoCounts {
  /** Requests of all chats: one for each turn. */
  chatRequests: number;
  completeChatRequests: number;
  bookings: number;
  completeBookings: number;
  resends: number;
  /** Time to the first byte of each streamed chat response. */
  readonly firstByteMs: number[];
  /** Descriptions of the first few failures, for the report. */
  readonly failures: string[];
}

/** Called after each completed request. */
export type OnProgress = (done: number, total: number) => void;

const MAX_REPORTED_FAILURES = 5;

/** Sends multi-turn chats and bookings through all daemons of a fleet. */
export class DemoLoad {
  readonly counts: DemoCounts = {
    chatRequests: 0,
    completeChatRequests: 0,
    bookings: 0,
    completeBookings: 0,
    resends: 0,
    firstByteMs: [],
    failures: [],
  };
  readonly #fleet: Fleet;
  readonly #deployment: DemoDeployment;
  readonly #options: DemoOptions;
  readonly #onProgress: OnProgress;
  readonly #client = new FleetClient();
  readonly #random;

  constructor(
    fleet: Fleet,
    deployment: DemoDeployment,
    options: DemoOptions,
    onProgress: OnProgress,
  ) {
    this.#fleet = fleet;
    this.#deployment = deployment;
    this.#options = options;
    this.#onProgress = onProgress;
    this.#random = xoroshiro128plus(options.seed);
  }

  /** Sends the complete load; resolves when every request has ended. */
  async run(): Promise<void> {
    const { chats, bookings, concurrency } = this.#options;
    const tasks = [
      ...Array.from({ length: chats }, (_, it) => () => this.#sendChat(it)),
      ...Array.from(
        { length: bookings },
        (_, it) => () => this.#sendBooking(it),
      ),
    ];
    const shuffled = this.#shuffle(tasks);
    const workers = Array.from({ length: concurrency }, async () => {
      for (let task = shuffled.pop(); task; task = shuffled.pop()) await task();
    });
    await Promise.all(workers);
    await this.#client.close();
  }

  /** Each turn sends the history, the last response and a new question. */
  async #sendChat(number: number): Promise<void> {
    const messages: Message[] = [
      { role: "system", content: describeInventory(number) },
    ];
    for (let turn = 1; turn <= this.#options.turnsPerChat; turn += 1) {
      messages.push({ role: "user", content: `Question ${turn} on it?` });
      const maxTokens = this.#pick(
        MIN_COMPLETION_TOKENS,
        MAX_COMPLETION_TOKENS,
      );
      const isStream = this.#pick(0, 3) > 0;
      const result = await this.#client.chat(this.#pickUrl(), {
        team: this.#pickTeam(),
        chat: `chat-${number}`,
        model: this.#deployment.model,
        messages: [...messages],
        maxTokens,
        isStream,
      });
      this.counts.chatRequests += 1;
      if (isStream) this.counts.firstByteMs.push(result.firstByteMs);
      if (result.isOwnAndComplete) this.counts.completeChatRequests += 1;
      this.#record(`chat ${number} turn ${turn}`, result);
      const { text } = expectedCompletion(messages, maxTokens);
      messages.push({ role: "assistant", content: text });
    }
  }

  async #sendBooking(number: number): Promise<void> {
    const call = {
      team: this.#pickTeam(),
      route: this.#deployment.bookingRoute,
      path: `/bookings/${number}`,
      body: JSON.stringify({ booking: number }),
      idempotencyKey: `booking-${this.#options.seed}-${number}`,
    };
    const result = await this.#client.service(this.#pickUrl(), call);
    this.counts.bookings += 1;
    if (result.isOwnAndComplete) this.counts.completeBookings += 1;
    this.#record(`booking ${number}`, result);
    if (number % RESEND_PERIOD !== 0) return;
    // Any response to a resend is valid; the booking must not execute twice.
    await this.#client.service(this.#pickUrl(), call);
    this.counts.resends += 1;
  }

  #record(name: string, result: CallResult): void {
    const { chatRequests, bookings, failures } = this.counts;
    const options = this.#options;
    const total = options.chats * options.turnsPerChat + options.bookings;
    this.#onProgress(chatRequests + bookings, total);
    if (result.isOwnAndComplete || failures.length >= MAX_REPORTED_FAILURES) {
      return;
    }
    const { status, outcome, text } = result;
    failures.push(`${name}: status ${status}, ${outcome}, ${text}`);
  }

  #pickUrl(): string {
    const { daemons } = this.#fleet;
    return daemons[this.#pick(0, daemons.length - 1)]?.url ?? "";
  }

  #pickTeam(): string {
    const { teams } = this.#deployment;
    return teams[this.#pick(0, teams.length - 1)] ?? "";
  }

  #pick(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  #shuffle<T>(items: T[]): T[] {
    for (let last = items.length - 1; last > 0; last -= 1) {
      const other = this.#pick(0, last);
      [items[last], items[other]] = [items[other] as T, items[last] as T];
    }
    return items;
  }
}

/** A long first message, like the inventory of a workshop. */
function describeInventory(number: number): string {
  const lines = Array.from(
    { length: INVENTORY_LINES },
    (_, line) => `Bin ${number}-${line}: oak offcuts, ${line + 1} pieces.`,
  );
  return lines.join("\n");
}
