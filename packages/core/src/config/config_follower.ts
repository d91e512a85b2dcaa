import {
  createObjectSet,
  type FleetObject,
  type ObjectSet,
} from "../objects/index.ts";
import { checkPublishedSet } from "./check_objects.ts";
import { formatConfigValidationError } from "./config_validation_error.ts";
import { type ConfigHead, parseConfigHead } from "./config_head.ts";
import { buildConfigTree } from "./config_tree.ts";
import { diffObjectLists, type ObjectChange } from "./diff_objects.ts";
import {
  type CollectedParts,
  collectParts,
  findMisplacedObject,
  type Leaf,
  selectChangedLeaves,
  type StoredPart,
} from "./leaves.ts";
import { listObjects } from "./object_key.ts";
import { readPart, type Sha256Hex } from "./part_contents.ts";

/** The source of a head or a part. */
export type ConfigSource =
  | { readonly kind: "platform" }
  | { readonly kind: "peer"; readonly vm: string };

/** The set in force and the head under which it was published. */
export interface AppliedConfig {
  readonly head: ConfigHead;
  readonly set: ObjectSet;
}

/** Why a head or a part was rejected. */
export type ConfigRejectionReason =
  | "malformed-head"
  | "older-revision"
  | "conflicting-revision"
  | "wrong-digest"
  | "malformed-part"
  | "invalid-set";

/** Parts that the pending head needs and that are not stored yet. */
export interface WantedParts {
  /** The source that offered the head; other sources may have the parts too. */
  readonly source: ConfigSource;
  readonly digests: readonly string[];
}

/** Actions that the code using a `ConfigFollower` must carry out. */
export type FollowerAction =
  | ({ readonly kind: "fetch-parts" } & WantedParts)
  | {
    readonly kind: "apply";
    readonly config: AppliedConfig;
    readonly changes: readonly ObjectChange[];
  }
  | {
    readonly kind: "refuse";
    readonly reason: ConfigRejectionReason;
    readonly source: ConfigSource;
    /** Revision of the rejected head; 0 if the revision is unknown. */
    readonly revision: number;
    readonly message: string;
  };

const NO_LEAVES: ReadonlyMap<string, Leaf> = new Map();
/** Maximum number of validation errors in the message of a rejected set. */
const MAX_REPORTED_ERRORS = 3;

interface Candidate {
  readonly head: ConfigHead;
  readonly source: ConfigSource;
}

/**
 * Decides which published set is in force in a daemon. The follower accepts
 * only revisions above the one in force, from any source. The current set stays
 * in force until all parts of the next set are stored and validated. The class
 * does no I/O; the code using the follower carries out the returned actions.
 */
export class ConfigFollower {
  readonly #sha256Hex: Sha256Hex;
  #applied: AppliedConfig | undefined;
  #candidate: Candidate | undefined;
  /**
   * Nonce of the last set that failed validation; that set is not fetched
   * again.
   */
  #invalidNonce: string | undefined;
  #parts = new Map<string, StoredPart>();
  /** Leaves of the set in force, by name. */
  #leaves = NO_LEAVES;

  constructor(sha256Hex: Sha256Hex) {
    this.#sha256Hex = sha256Hex;
  }

  /** The set in force; undefined until the first set is applied. */
  get applied(): AppliedConfig | undefined {
    return this.#applied;
  }

  /** The head whose parts are being fetched. */
  get pendingHead(): ConfigHead | undefined {
    return this.#candidate?.head;
  }

  /**
   * The parts to fetch for the pending head; undefined without a pending head.
   */
  get wantedParts(): WantedParts | undefined {
    const candidate = this.#candidate;
    if (!candidate) return undefined;
    const digests = collectParts(candidate.head, this.#parts).missing;
    return { source: candidate.source, digests };
  }

  /** The text of a stored part, for a peer that requests it. */
  exportPart(digest: string): string | undefined {
    return this.#parts.get(digest)?.text;
  }

  /** Handles a head from the platform or a peer. */
  offerHead(value: unknown, source: ConfigSource): FollowerAction[] {
    const parsed = parseConfigHead(value);
    if (parsed.isErr()) {
      return [reject("malformed-head", source, 0, parsed.error.message)];
    }
    const head = parsed.value;
    const rejection = this.#findRejection(head, source);
    if (rejection) return [rejection];
    if (!this.#isWanted(head)) return [];
    this.#candidate = { head, source };
    this.#reuseAppliedObjects(head);
    return this.#advance();
  }

  /** Handles a fetched part. */
  offerPart(
    digest: string,
    text: string,
    source: ConfigSource,
  ): FollowerAction[] {
    const revision = this.#candidate?.head.revision ?? 0;
    if (this.#sha256Hex(text) !== digest) {
      const message = `part ${digest} does not match its digest; it is damaged`;
      return [reject("wrong-digest", source, revision, message)];
    }
    const contents = readPart(text);
    if (contents.isErr()) {
      this.#dropCandidate();
      const { message } = contents.error;
      return [reject("malformed-part", source, revision, message)];
    }
    this.#parts.set(digest, { text, contents: contents.value });
    return this.#candidate ? this.#advance() : [];
  }

  /**
   * Abandons the pending head after no source had its parts. The next offered
   * head above the one in force is accepted, including the abandoned head.
   */
  abandonPending(): void {
    this.#candidate = undefined;
  }

  #findRejection(
    head: ConfigHead,
    source: ConfigSource,
  ): FollowerAction | undefined {
    const applied = this.#applied?.head;
    if (!applied || head.revision > applied.revision) return undefined;
    if (head.revision < applied.revision) {
      // A peer may lag behind, but the revision of the platform must not
      // decrease.
      if (source.kind === "peer") return undefined;
      const message = `the platform offers revision ${head.revision} while ` +
        `${applied.revision} is in force; it was restored to an older state. ` +
        "Publish again with --after-restore";
      return reject("older-revision", source, head.revision, message);
    }
    if (head.nonce === applied.nonce) return undefined;
    const message = `revision ${head.revision} was published twice, by ` +
      `${applied.publishedBy} (in force) and by ${head.publishedBy}; ` +
      "publish again to resolve the conflict";
    return reject("conflicting-revision", source, head.revision, message);
  }

  #isWanted(head: ConfigHead): boolean {
    if (head.nonce === this.#invalidNonce) return false;
    if (head.revision <= (this.#applied?.head.revision ?? 0)) return false;
    return head.revision > (this.#candidate?.head.revision ?? 0);
  }

  /**
   * After a layout change, builds the parts of the new layout from the set in
   * force. Parts without changed objects then need no fetch.
   */
  #reuseAppliedObjects(head: ConfigHead): void {
    const applied = this.#applied;
    if (!applied) return;
    if (this.#isSameLayout(head)) return;
    const objects = listObjects(applied.set);
    const tree = buildConfigTree(objects, head.layout, this.#sha256Hex);
    for (const [digest, text] of tree.texts) {
      const contents = readPart(text);
      if (contents.isErr() || this.#parts.has(digest)) continue;
      this.#parts.set(digest, { text, contents: contents.value });
    }
  }

  #advance(): FollowerAction[] {
    const candidate = this.#candidate;
    if (!candidate) return [];
    const collected = collectParts(candidate.head, this.#parts);
    if (collected.missing.length > 0) {
      const { source } = candidate;
      return [{ kind: "fetch-parts", source, digests: collected.missing }];
    }
    return this.#apply(candidate, collected);
  }

  #apply(candidate: Candidate, collected: CollectedParts): FollowerAction[] {
    const { head, source } = candidate;
    const { leaves, stored } = collected;
    const validLeaves = this.#isSameLayout(head) ? this.#leaves : NO_LEAVES;
    const changed = selectChangedLeaves(validLeaves, leaves);
    const set = createObjectSet(listLeafObjects(leaves));
    const error = findSetError(set, changed, head);
    if (error !== undefined) {
      this.#dropCandidate();
      return [reject("invalid-set", source, head.revision, error)];
    }
    const replaced = selectChangedLeaves(leaves, this.#leaves);
    const changes = diffObjectLists(
      listLeafObjects(replaced),
      listLeafObjects(selectChangedLeaves(this.#leaves, leaves)),
    );
    this.#applied = { head, set };
    this.#candidate = undefined;
    this.#leaves = leaves;
    this.#parts = new Map(stored);
    return [{ kind: "apply", config: this.#applied, changes }];
  }

  #isSameLayout(head: ConfigHead): boolean {
    return this.#applied?.head.layout.leafCount === head.layout.leafCount;
  }

  #dropCandidate(): void {
    this.#invalidNonce = this.#candidate?.head.nonce;
    this.#candidate = undefined;
  }
}

function listLeafObjects(leaves: ReadonlyMap<string, Leaf>): FleetObject[] {
  return [...leaves.values()].flatMap((leaf) => leaf.objects);
}

/**
 * Validates a set of which only the `changed` leaves are new; returns the error
 * message.
 */
function findSetError(
  set: ObjectSet,
  changed: ReadonlyMap<string, Leaf>,
  head: ConfigHead,
): string | undefined {
  const misplaced = findMisplacedObject(changed, head.layout);
  if (misplaced) return `${misplaced} is misplaced or repeated; publish again`;
  const errors = checkPublishedSet(set);
  if (errors.length === 0) return undefined;
  return errors.slice(0, MAX_REPORTED_ERRORS).map(formatConfigValidationError)
    .join("; ");
}

function reject(
  reason: ConfigRejectionReason,
  source: ConfigSource,
  revision: number,
  message: string,
): FollowerAction {
  return { kind: "refuse", reason, source, revision, message };
}
