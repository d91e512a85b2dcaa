import type { TimerService } from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type { ForwardingBlackboard } from "../forwarding_blackboard.ts";

const CHECK_PERIOD_MS = 250;
/**
 * Time without a response after which the store counts as unreachable. It
 * covers the probe period of a second, the probe's timeout and one retry on
 * another connection; see `StoreFollowerController`.
 */
const UNREACHABLE_AFTER_MS = 2_700;

/** Writes `storeContact`. */
export class StoreContactController extends Controller {
  override readonly name = "store-contact";
  readonly #store: KeyValueClient;
  readonly #timer: TimerService;
  readonly #log: Logger;
  readonly #blackboard: ForwardingBlackboard;
  readonly #writer;
  #isReachable = true;
  #cancel: () => void = () => {};

  constructor(
    blackboard: ForwardingBlackboard,
    store: KeyValueClient,
    timer: TimerService,
    log: Logger,
  ) {
    super();
    this.#store = store;
    this.#blackboard = blackboard;
    this.#timer = timer;
    this.#log = log;
    this.#writer = blackboard.storeContact.claimWriter(this.name);
  }

  override start(): Promise<void> {
    this.#cancel = this.#timer.every(CHECK_PERIOD_MS, () => this.#check());
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { isReachable: this.#isReachable, calls: this.#store.calls };
  }

  #check(): void {
    const lastResponseAtMs = Math.max(
      this.#store.lastResponseAtMs,
      this.#blackboard.knowledgeAsOfMs.read(),
    );
    const sinceResponseMs = this.#timer.nowMs() - lastResponseAtMs;
    const isReachable = sinceResponseMs < UNREACHABLE_AFTER_MS;
    if (isReachable !== this.#isReachable) {
      this.#isReachable = isReachable;
      const name = isReachable ? "storeRegained" : "storeLost";
      this.#log.event(name, { silentMs: Math.round(sinceResponseMs) });
    }
    this.#writer.write({ heardAtMs: lastResponseAtMs, isReachable });
  }
}
