import {
  DEFAULT_CLAIM_BOOK_SETTINGS,
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

/** Parts of the daemon that the guards are built from. */
export interface GuardParts {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Differs for every start of the daemon. */
  readonly incarnation: string;
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly keyValue: KeyValueClient;
  readonly peers: Peers;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The guards of requests with the controllers that keep them going. */
export interface GuardSet {
  readonly guards: RequestGuards;
  readonly controllers: readonly Controller[];
}

/** Builds admission, claims, the search for crashing requests and retries. */
export function createGuards(parts: GuardParts): GuardSet {
  const admission = new AdmissionController(parts);
  const claims = new ClaimController({
    ...parts,
    settings: DEFAULT_CLAIM_BOOK_SETTINGS,
  });
  const poison = new PoisonController({
    ...parts,
    peers: new PoisonPeers(parts),
    store: new QuarantineStore(parts.keyValue),
    detector: new CrashDetector(parts.timer),
    isolation: new SuspectIsolation(parts),
    settings: DEFAULT_POISON_SETTINGS,
  });
  const guards: RequestGuards = {
    admission,
    claims: new ClaimedCalls(claims, parts.timer),
    poison,
    retries: new RetryBudgets(),
  };
  return { guards, controllers: [admission, claims, poison] };
}
