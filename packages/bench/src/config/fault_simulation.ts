import {
  type PublishedSet,
  Publisher,
  readPublishedSet,
} from "@coltsfootford/cli";
import {
  CONFIG_HEAD_KEY,
  createObjectSet,
  objectSchema,
  type ObjectSet,
} from "@coltsfootford/core";
import {
  FakeConfigFleet,
  type FakeConfigNode,
} from "@coltsfootford/daemon/config/testing";
import { FakeKeyValue } from "@coltsfootford/key-value/testing";

/** Time after which the publisher stops resolving lost responses. */
const RESOLVE_LIMIT_MS = 1_500;
/** Time within which a published set must be in force in every daemon. */
export const IN_FORCE_DEADLINE_MS = 9_000;

/** An availability zone of the simulation. */
export type Zone = "zone-0" | "zone-1";

const ZONES: readonly Zone[] = ["zone-0", "zone-1"];

/** One step of a trace. */
export type FaultStep =
  | {
    readonly kind: "publish";
    readonly operator: 0 | 1;
    readonly shareWeight: number;
    /** Whether the operator reads the published set first. */
    readonly isFresh: boolean;
    readonly fault: "none" | "lost-answer" | "lost-request" | "slow";
  }
  | { readonly kind: "race"; readonly shareWeight: number }
  /**
   * The response to one publication is lost, and the other operator publishes
   * a higher revision before the first one retries.
   */
  | { readonly kind: "supersede"; readonly shareWeight: number }
  | {
    readonly kind: "platform";
    /**
     * The zone whose daemons lose or regain the platform. Operators belong to
     * no zone.
     */
    readonly zone: Zone;
    readonly isDown: boolean;
  }
  | { readonly kind: "operators"; readonly isDown: boolean }
  | { readonly kind: "end-watches" }
  | { readonly kind: "compact" }
  | { readonly kind: "backup" }
  | { readonly kind: "restore" }
  | { readonly kind: "cut"; readonly zone: Zone }
  | { readonly kind: "heal" }
  | { readonly kind: "restart"; readonly daemon: number }
  | { readonly kind: "pass"; readonly durationMs: number };

/** The result of one publication as the publisher reported it. */
export interface PublicationResult {
  readonly nonce: string;
  readonly revision: number;
  readonly outcome: "published" | "refused" | "unknown";
}

class FakeOperator {
  readonly client: FakeKeyValue;
  /** The published set that the operator read last. */
  base: PublishedSet | undefined;

  constructor(readonly name: string, fleet: FakeConfigFleet) {
    this.client = new FakeKeyValue(fleet.timer, fleet.store);
  }
}

/**
 * Two operators and four daemons in two zones, with a fake key-value store, a
 * fake network and virtual time.
 */
export class FaultSimulation {
  readonly fleet = new FakeConfigFleet();
  readonly results: PublicationResult[] = [];
  /** The former instances of restarted daemons, with the sets they applied. */
  readonly replacedNodes: FakeConfigNode[] = [];
  hasRestored = false;
  #isCut = false;
  readonly #zonesWithoutPlatform = new Set<Zone>();
  readonly #operators: readonly [FakeOperator, FakeOperator];
  #backup: ReturnType<FakeConfigFleet["store"]["backup"]> | undefined;

  constructor() {
    for (const zone of ZONES) {
      for (const number of [1, 2]) {
        this.fleet.create(`entry-${zone}-${number}`, zone);
      }
    }
    this.#operators = [
      new FakeOperator("ana", this.fleet),
      new FakeOperator("ben", this.fleet),
    ];
  }

  async start(): Promise<void> {
    await this.fleet.startAll();
  }

  async execute(step: FaultStep): Promise<void> {
    const { fleet } = this;
    if (step.kind === "publish") await this.#publishWithFault(step);
    if (step.kind === "race") await this.#race(step.shareWeight);
    if (step.kind === "supersede") await this.#supersede(step.shareWeight);
    if (step.kind === "platform") this.#setPlatform(step.zone, step.isDown);
    if (step.kind === "operators") {
      for (const { client } of this.#operators) client.setDown(step.isDown);
    }
    if (step.kind === "end-watches") {
      for (const node of fleet.nodes) node.keyValue.endWatches();
    }
    if (step.kind === "compact") fleet.store.compact();
    if (step.kind === "backup") this.#backup = fleet.store.backup();
    if (step.kind === "restore") this.#restore();
    if (step.kind === "cut") this.#cutZone(step.zone);
    if (step.kind === "heal") this.#heal();
    if (step.kind === "restart") await this.#restart(step.daemon);
    if (step.kind === "pass") await fleet.advanceTime(step.durationMs);
  }

  /** Whether every daemon reaches the platform directly or through peers. */
  get isConnected(): boolean {
    if (this.#zonesWithoutPlatform.size === ZONES.length) return false;
    return !this.#isCut || this.#zonesWithoutPlatform.size === 0;
  }

  /** Ends all faults and lets `IN_FORCE_DEADLINE_MS` pass. */
  async healAll(): Promise<void> {
    for (const zone of ZONES) this.#setPlatform(zone, false);
    for (const { client } of this.#operators) client.setDown(false);
    this.#heal();
    await this.fleet.advanceTime(IN_FORCE_DEADLINE_MS);
  }

  /** Publishes a final set with a revision above every revision in force. */
  async publishFinalSet(): Promise<PublicationResult> {
    await this.#publishWithFault({
      kind: "publish",
      operator: 0,
      shareWeight: 999,
      isFresh: true,
      fault: "none",
    });
    await this.fleet.advanceTime(IN_FORCE_DEADLINE_MS);
    const result = this.results.at(-1);
    if (!result) throw new Error("the final publication was not attempted");
    return result;
  }

  async #publishWithFault(
    step: Extract<FaultStep, { kind: "publish" }>,
  ): Promise<void> {
    const operator = this.#operators[step.operator];
    if (step.isFresh) await this.#refreshBase(operator);
    const { faults } = operator.client;
    faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    faults.lostWriteResponses = step.fault === "lost-answer" ? 1 : 0;
    faults.lostWriteRequests = step.fault === "lost-request" ? 2 : 0;
    faults.responseDelayMs = step.fault === "slow" ? 300 : 0;
    await this.#publishSet(operator, step.shareWeight);
    faults.lostWriteResponses = 0;
    faults.lostWriteRequests = 0;
    faults.responseDelayMs = 0;
  }

  async #race(shareWeight: number): Promise<void> {
    for (const operator of this.#operators) await this.#refreshBase(operator);
    await Promise.all(
      this.#operators.map((operator, index) =>
        this.#publishSet(operator, shareWeight + index)
      ),
    );
  }

  async #supersede(shareWeight: number): Promise<void> {
    const [first, second] = this.#operators;
    await this.#refreshBase(first);
    first.client.faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    first.client.faults.lostWriteResponses = 1;
    const firstPublication = this.#publishSet(first, shareWeight);
    // No virtual time passes, so the first publisher has not retried yet.
    await runPendingCallbacks();
    await this.#refreshBase(second);
    await this.#publishSet(second, shareWeight + 1);
    await firstPublication;
    first.client.faults.lostWriteResponses = 0;
  }

  async #refreshBase(operator: FakeOperator): Promise<void> {
    const read = await this.#advanceUntilSettled(
      readPublishedSet(operator.client),
    );
    if (read.isOk()) operator.base = read.value;
  }

  async #publishSet(
    operator: FakeOperator,
    shareWeight: number,
  ): Promise<void> {
    const { base, client } = operator;
    const revision = this.#chooseRevision(base);
    const nonce = `${operator.name}-${this.results.length}-${shareWeight}`;
    const publisher = new Publisher({
      client,
      timer: this.fleet.timer,
      resolveLimitMs: RESOLVE_LIMIT_MS,
    });
    const outcome = await this.#advanceUntilSettled(publisher.publish({
      set: createSet(shareWeight),
      current: base,
      metadata: {
        revision,
        nonce,
        publishedBy: operator.name,
        publishedAtMs: 0,
      },
    }));
    this.results.push({
      nonce,
      revision,
      outcome: outcome.match(
        () => "published",
        (error) => error.kind === "outcome-unknown" ? "unknown" : "refused",
      ),
    });
  }

  /** Picks a revision above those of all daemons, like `--after-restore`. */
  #chooseRevision(base: PublishedSet | undefined): number {
    const revisions = this.fleet.nodes.map((node) => node.revision());
    return Math.max(base?.head.revision ?? 0, ...revisions) + 1;
  }

  #setPlatform(zone: Zone, isDown: boolean): void {
    if (isDown) this.#zonesWithoutPlatform.add(zone);
    else this.#zonesWithoutPlatform.delete(zone);
    for (const node of this.fleet.nodes) {
      if (node.zone === zone) node.keyValue.setDown(isDown);
    }
  }

  #cutZone(zone: Zone): void {
    this.#isCut = true;
    this.fleet.network.partitionZone(zone);
  }

  #heal(): void {
    this.#isCut = false;
    this.fleet.network.healPartitions();
  }

  #restore(): void {
    if (!this.#backup) return;
    this.hasRestored = true;
    this.fleet.store.restore(this.#backup);
    for (const node of this.fleet.nodes) node.keyValue.endWatches();
  }

  async #restart(index: number): Promise<void> {
    const node = this.fleet.nodes[index];
    if (!node) return;
    this.replacedNodes.push(node);
    await this.fleet.restart(node.vm);
  }

  /** Advances virtual time until the promise is settled. */
  async #advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    const tracked = promise.finally(() => isSettled = true);
    await runPendingCallbacks();
    while (!isSettled) await this.fleet.advanceTime(50);
    return await tracked;
  }
}

/** Runs the pending callbacks that need no virtual time. */
function runPendingCallbacks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function createSet(shareWeight: number): ObjectSet {
  return createObjectSet([
    objectSchema.parse({ kind: "team", name: "joiners", shareWeight }),
    objectSchema.parse({ kind: "team", name: "masons" }),
  ]);
}
