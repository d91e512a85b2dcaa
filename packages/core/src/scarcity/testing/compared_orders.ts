import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  Attainable,
  type OrderedRequest,
  type Precedence,
  ServiceOrder,
} from "../service_order.ts";

/** Serves in the order of arrival and rejects the newest request. */
export class ArrivalOrder extends ServiceOrder {
  override readonly isAging: boolean = false;

  override precedence(request: OrderedRequest): Precedence {
    const urgency = this.urgency(request);
    return { attainable: Attainable.Objective, urgency };
  }

  override rejectionCost(request: OrderedRequest): number {
    return this.urgency(request);
  }

  urgency(_request: OrderedRequest): number {
    return 0;
  }
}

/** Serves in the order of arrival and rejects a random request. */
export class RandomRejection extends ArrivalOrder {
  readonly #random = xoroshiro128plus(1);

  override rejectionCost(): number {
    return uniformFloat64(this.#random);
  }
}

export class EarliestDeadline extends ArrivalOrder {
  override urgency(request: OrderedRequest): number {
    return -request.objectiveAtMs;
  }
}

export class LeastSlack extends ArrivalOrder {
  override urgency(request: OrderedRequest): number {
    return request.expectedWorkMs - request.objectiveAtMs;
  }
}

export class ValuePerWork extends ArrivalOrder {
  override urgency({ rank, expectedWorkMs }: OrderedRequest): number {
    return 2 ** -rank / expectedWorkMs;
  }
}

/** Fair queueing by team: the work of a team advances its virtual time. */
export class FairByTeam extends ArrivalOrder {
  readonly #tags = new WeakMap<OrderedRequest, number>();
  readonly #finishTags = new Map<string | undefined, number>();

  override urgency(request: OrderedRequest): number {
    const known = this.#tags.get(request);
    if (known !== undefined) return -known;
    const earliest = Math.min(...this.#finishTags.values(), Infinity);
    const tag = Math.max(
      this.#finishTags.get(request.team) ?? 0,
      Number.isFinite(earliest) ? earliest : 0,
    ) + request.expectedWorkMs;
    this.#finishTags.set(request.team, tag);
    this.#tags.set(request, tag);
    return -tag;
  }
}
