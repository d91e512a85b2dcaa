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

/** Time for an operator's tool until it gives up on lost answers. */
const RESOLVE_LIMIT_MS = 1_500;
/** Time in which an accepted set must be in force everywhere. */
export const IN_FORCE_MS = 9_000;

/** An availability zone of the world. */
export type Zone = "zone-0" | "zone-1";

const ZONES: readonly Zone[] = ["zone-0", "zone-1"];

/** One step of a trace. */
export type FaultStep =
  | {
    readonly kind: "publish";
    readonly operator: 0 | 1;
    readonly shareWeight: number;
    /** Whether the operator reads what is published first. */
    readonly isFresh: boolean;
    readonly fault: "none" | "lost-answer" | "lost-request" | "slow";
  }
  | { readonly kind: "race"; readonly shareWeight: number }
  /** The answer to one is lost, and another is published above it. */
  | { readonly kind: "supersede"; readonly shareWeight: number }
  | {
    readonly kind: "platform";
    /** The zone that loses or regains the platform; operators have none. */
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

/** What the tool told an operator of one publication. */
export interface ToldOutcome {
  readonly nonce: string;
  readonly revision: number;
  readonly outcome: "published" | "refused" | "unknown";
}

class FakeOperator {
  readonly client: FakeKeyValue;
  base: PublishedSet | undefined;

  constructor(readonly name: string, fleet: FakeConfigFleet) {
    this.client = new FakeKeyValue(fleet.timer, fleet.store);
  }
}

/** Two operators and four daemons in two zones, on fakes. */
export class FaultWorld {
  readonly fleet = new FakeConfigFleet();
  readonly told: ToldOutcome[] = [];
  /** What daemons had put in force that were restarted since. */
  readonly endedNodes: FakeConfigNode[] = [];
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

  async run(step: FaultStep): Promise<void> {
    const { fleet } = this;
    if (step.kind === "publish") await this.#publish(step);
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
    if (step.kind === "cut") this.#setCut(step.zone);
    if (step.kind === "heal") this.#heal();
    if (step.kind === "restart") await this.#restart(step.daemon);
    if (step.kind === "pass") await fleet.advanceTime(step.durationMs);
  }

  /** Whether every daemon has a way to the platform, if through others. */
  get isConnected(): boolean {
    if (this.#zonesWithoutPlatform.size === ZONES.length) return false;
    return !this.#isCut || this.#zonesWithoutPlatform.size === 0;
  }

  /** Ends all faults and waits for the stated time. */
  async healAll(): Promise<void> {
    for (const zone of ZONES) this.#setPlatform(zone, false);
    for (const { client } of this.#operators) client.setDown(false);
    this.#heal();
    await this.fleet.advanceTime(IN_FORCE_MS);
  }

  /** Publishes a last set above everything in force. */
  async publishLast(): Promise<ToldOutcome> {
    await this.#publish({
      kind: "publish",
      operator: 0,
      shareWeight: 999,
      isFresh: true,
      fault: "none",
    });
    await this.fleet.advanceTime(IN_FORCE_MS);
    const last = this.told.at(-1);
    if (!last) throw new Error("the last publication was not tried");
    return last;
  }

  async #publish(step: Extract<FaultStep, { kind: "publish" }>): Promise<void> {
    const operator = this.#operators[step.operator];
    if (step.isFresh) await this.#read(operator);
    const { faults } = operator.client;
    faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    faults.lostWriteResponses = step.fault === "lost-answer" ? 1 : 0;
    faults.lostWriteRequests = step.fault === "lost-request" ? 2 : 0;
    faults.responseDelayMs = step.fault === "slow" ? 300 : 0;
    await this.#tell(operator, step.shareWeight);
    faults.lostWriteResponses = 0;
    faults.lostWriteRequests = 0;
    faults.responseDelayMs = 0;
  }

  async #race(shareWeight: number): Promise<void> {
    for (const operator of this.#operators) await this.#read(operator);
    await Promise.all(
      this.#operators.map((operator, index) =>
        this.#tell(operator, shareWeight + index)
      ),
    );
  }

  async #supersede(shareWeight: number): Promise<void> {
    const [first, second] = this.#operators;
    await this.#read(first);
    first.client.faults.lossKeyPrefix = CONFIG_HEAD_KEY;
    first.client.faults.lostWriteResponses = 1;
    const told = this.#tell(first, shareWeight);
    // No time passes, so the first has not asked again yet.
    await nextTurn();
    await this.#read(second);
    await this.#tell(second, shareWeight + 1);
    await told;
    first.client.faults.lostWriteResponses = 0;
  }

  async #read(operator: FakeOperator): Promise<void> {
    const read = await this.#until(readPublishedSet(operator.client));
    if (read.isOk()) operator.base = read.value;
  }

  async #tell(operator: FakeOperator, shareWeight: number): Promise<void> {
    const { base, client } = operator;
    const revision = this.#chooseRevision(base);
    const nonce = `${operator.name}-${this.told.length}-${shareWeight}`;
    const publisher = new Publisher({
      client,
      timer: this.fleet.timer,
      resolveLimitMs: RESOLVE_LIMIT_MS,
    });
    const outcome = await this.#until(publisher.publish({
      set: createSet(shareWeight),
      current: base,
      metadata: {
        revision,
        nonce,
        publishedBy: operator.name,
        publishedAtMs: 0,
      },
    }));
    this.told.push({
      nonce,
      revision,
      outcome: outcome.match(
        () => "published",
        (error) => error.kind === "outcome-unknown" ? "unknown" : "refused",
      ),
    });
  }

  /** As the tool does with `--after-restore`: above the daemons. */
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

  #setCut(zone: Zone): void {
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
    this.endedNodes.push(node);
    await this.fleet.restart(node.vm);
  }

  /** Lets time pass until a promise is settled. */
  async #until<Value>(promise: Promise<Value>): Promise<Value> {
    let isDone = false;
    const marked = promise.finally(() => isDone = true);
    await nextTurn();
    while (!isDone) await this.fleet.advanceTime(50);
    return await marked;
  }
}

/** Lets everything happen that needs no time. */
function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function createSet(shareWeight: number): ObjectSet {
  return createObjectSet([
    objectSchema.parse({ kind: "team", name: "joiners", shareWeight }),
    objectSchema.parse({ kind: "team", name: "masons" }),
  ]);
}
