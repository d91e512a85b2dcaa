import {
  DEFAULT_CLAIM_SETTINGS,
  DEFAULT_POISON_SETTINGS,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { AdmissionController } from "./admission/index.ts";
import type { Blackboard } from "./blackboard/index.ts";
import { ClaimController, ClaimedCalls } from "./claims/index.ts";
import type { Controller } from "./controllers/index.ts";
import { type RequestGuards, RetryBudgets } from "./entry/index.ts";
import type { Logger } from "./log/index.ts";
import type { Metrics } from "./metrics/index.ts";
import type { Peers } from "./peers/index.ts";
import {
  CrashDetector,
  PoisonController,
  PoisonPeers,
  QuarantineStore,
  SuspectIsolation,
} from "./poison/index.ts";

export interface GuardDependencies {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Unique for each start of the daemon. */
  readonly incarnation: string;
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly keyValue: KeyValueClient;
  readonly peers: Peers;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The request guards and the controllers that they depend on. */
export interface GuardSet {
  readonly guards: RequestGuards;
  readonly controllers: readonly Controller[];
}

/** Creates admission, claims, poison request detection and retry budgets. */
export function createGuards(dependencies: GuardDependencies): GuardSet {
  const admission = new AdmissionController(dependencies);
  const claims = new ClaimController({
    ...dependencies,
    settings: DEFAULT_CLAIM_SETTINGS,
  });
  const poison = new PoisonController({
    ...dependencies,
    peers: new PoisonPeers(dependencies),
    store: new QuarantineStore(dependencies.keyValue),
    detector: new CrashDetector(dependencies.timer),
    isolation: new SuspectIsolation(dependencies),
    settings: DEFAULT_POISON_SETTINGS,
  });
  const guards: RequestGuards = {
    admission,
    claims: new ClaimedCalls(claims, dependencies.timer),
    poison,
    retries: new RetryBudgets(),
  };
  return { guards, controllers: [admission, claims, poison] };
}
