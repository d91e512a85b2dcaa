import { DividedShareGate, LocalEstimateGate } from "@coltsfootford/core";
import { maxLoadRequests } from "@coltsfootford/core";
import {
  type Admission,
  createAdmission,
  type GateAsk,
  SequentialGate,
} from "./admission_gate.ts";
import type { World } from "./world.ts";

/** Bytes of one load report of a target as JSON, with its HTTP headers. */
const LOAD_REPORT_BYTES = 320;
const POLL_PERIOD_MS = 500;

/** Shared part of the baselines: each daemon polls the load of every target. */
abstract class PollingGate extends SequentialGate {
  protected readonly world: World;

  constructor(world: World) {
    super();
    this.world = world;
  }

  override controlBytesOf(): number {
    const polls = this.world.heap.nowMs / POLL_PERIOD_MS;
    return polls * LOAD_REPORT_BYTES * this.world.options.targets;
  }
}

/** Admits everything. */
export class OpenGate extends PollingGate {
  override readonly name = "no-bound";

  protected override tryTarget(_ask: GateAsk, target: string): Admission {
    return createAdmission(target);
  }
}

/** Admits by lagging reports and the daemon's own admissions since. */
export class LocalEstimateAdmission extends PollingGate {
  override readonly name = "local-estimates";
  readonly #gates = new Map<string, LocalEstimateGate>();
  readonly #polledAtMs = new Map<string, number>();

  protected override tryTarget(
    ask: GateAsk,
    target: string,
  ): Admission | undefined {
    if (!this.#gateOf(ask).tryAdmit(target)) return undefined;
    return createAdmission(target);
  }

  #gateOf(ask: GateAsk): LocalEstimateGate {
    const name = ask.daemon.name;
    const nowMs = this.world.heap.nowMs;
    let gate = this.#gates.get(name);
    if (!gate) {
      gate = new LocalEstimateGate(this.world.options.loadFactor);
      this.#gates.set(name, gate);
    }
    const polledAtMs = this.#polledAtMs.get(name) ?? -Infinity;
    if (nowMs - polledAtMs < POLL_PERIOD_MS) return gate;
    this.#polledAtMs.set(name, nowMs);
    gate.setReports(
      ask.daemon.view.targets().map(({ name: target }) => ({
        target,
        loadRequests: this.world.engine(target)?.lastReport().loadRequests ?? 0,
      })),
    );
    return gate;
  }
}

/** Divides each target's limit among the daemons. */
export class DividedShareAdmission extends PollingGate {
  override readonly name = "divided-shares";
  readonly #gates = new Map<string, DividedShareGate>();
  readonly #polledAtMs = new Map<string, number>();

  protected override tryTarget(
    ask: GateAsk,
    target: string,
  ): Admission | undefined {
    const name = ask.daemon.name;
    const nowMs = this.world.heap.nowMs;
    const gate = this.#gates.get(name) ??
      new DividedShareGate(this.world.options.loadFactor);
    this.#gates.set(name, gate);
    const polledAtMs = this.#polledAtMs.get(name) ?? -Infinity;
    if (nowMs - polledAtMs >= POLL_PERIOD_MS) {
      this.#polledAtMs.set(name, nowMs);
      gate.setMean(this.#meanOf(ask), ask.daemon.view.daemons().size);
    }
    if (!gate.tryAdmit(target)) return undefined;
    return createAdmission(target, () => gate.recordEnd(target));
  }

  #meanOf(ask: GateAsk): number {
    const targets = ask.daemon.view.targets();
    const sumRequests = targets.reduce(
      (sum, target) =>
        sum +
        (this.world.engine(target.name)?.lastReport().loadRequests ?? 0),
      0,
    );
    return sumRequests / Math.max(1, targets.length);
  }
}

/** Knows every load at once: the bound without any exchange. */
export class ExactGate extends SequentialGate {
  override readonly name = "exact";
  readonly #world: World;
  readonly #onTheWay = new Map<string, number>();

  constructor(world: World) {
    super();
    this.#world = world;
  }

  override controlBytesOf(): number {
    return 0;
  }

  protected override tryTarget(
    _ask: GateAsk,
    target: string,
  ): Admission | undefined {
    const engine = this.#world.engine(target);
    if (!engine?.isInPool) return undefined;
    const onTheWay = this.#onTheWay.get(target) ?? 0;
    const limit = maxLoadRequests(
      this.#world.options.loadFactor,
      this.#world.poolLoadRequests(),
      this.#world.poolSize(),
    );
    if (engine.loadRequests + onTheWay + 1 > limit) return undefined;
    this.#onTheWay.set(target, onTheWay + 1);
    const isOver = { value: false };
    const arrive = () => {
      if (isOver.value) return;
      isOver.value = true;
      this.#onTheWay.set(target, this.#onTheWay.get(target)! - 1);
    };
    this.#world.heap.after(this.#world.options.zoneDelayMs * 2, arrive);
    return createAdmission(target, arrive);
  }
}
