import {
  createObjectSet,
  type FleetObject,
  type ObjectSet,
} from "../objects/index.ts";
import { checkPublishedSet } from "./check_objects.ts";
import { formatConfigFault } from "./config_fault.ts";
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

/** Where a head or a part came from. */
export type ConfigSource =
  | { readonly kind: "platform" }
  | { readonly kind: "peer"; readonly vm: string };

/** A set in force with the head it was published under. */
export interface AppliedConfig {
  readonly head: ConfigHead;
  readonly set: ObjectSet;
}

/** Why a head or a part was not taken. */
export type ConfigRefusalReason =
  | "malformed-head"
  | "older-revision"
  | "conflicting-revision"
  | "wrong-digest"
  | "malformed-part"
  | "invalid-set";

/** Parts that are missing for the pending head. */
export interface WantedParts {
  /** The source that offered the head; others may have the parts too. */
  readonly source: ConfigSource;
  readonly digests: readonly string[];
}

/** What the owner of a `ConfigFollower` must do. */
export type FollowerAction =
  | ({ readonly kind: "fetch-parts" } & WantedParts)
  | {
    readonly kind: "apply";
    readonly config: AppliedConfig;
    readonly changes: readonly ObjectChange[];
  }
  | {
    readonly kind: "refuse";
    readonly reason: ConfigRefusalReason;
    readonly source: ConfigSource;
    /** Revision of the refused head; 0 where it is not known. */
    readonly revision: number;
    readonly message: string;
  };

const NO_LEAVES: ReadonlyMap<string, Leaf> = new Map();
/** Faults of a published set that are told in full. */
const MAX_TOLD_FAULTS = 3;

interface Candidate {
  readonly head: ConfigHead;
  readonly source: ConfigSource;
}

/**
 * Decides which published set a daemon has in force. It takes only higher
 * revisions than the one in force, whatever the source, and keeps the set in
 * force until all parts of the next one are there and check out. It does no
 * I/O: the owner carries out the returned actions.
 */
export class ConfigFollower {
  readonly #sha256Hex: Sha256Hex;
  #applied: AppliedConfig | undefined;
  #candidate: Candidate | undefined;
  /** Nonce of the last set that failed its checks, so as not to fetch it again. */
  #invalidNonce: string | undefined;
  #parts = new Map<string, StoredPart>();
  /** The leaves of the set in force by name. */
  #leaves = NO_LEAVES;

  constructor(sha256Hex: Sha256Hex) {
    this.#sha256Hex = sha256Hex;
  }

  /** The set in force; undefined before the first. */
  get applied(): AppliedConfig | undefined {
    return this.#applied;
  }

  /** The head whose parts are being fetched. */
  get pendingHead(): ConfigHead | undefined {
    return this.#candidate?.head;
  }

  /** The parts to fetch for the pending head; undefined without one. */
  get wantedParts(): WantedParts | undefined {
    const candidate = this.#candidate;
    if (!candidate) return undefined;
    const digests = collectParts(candidate.head, this.#parts).missing;
    return { source: candidate.source, digests };
  }

  /** The text of a held part, for a peer that asks for it. */
  exportPart(digest: string): string | undefined {
    return this.#parts.get(digest)?.text;
  }

  /** Takes a head from the platform or a peer. */
  offerHead(value: unknown, source: ConfigSource): FollowerAction[] {
    const parsed = parseConfigHead(value);
    if (parsed.isErr()) {
      return [refuse("malformed-head", source, 0, parsed.error.message)];
    }
    const head = parsed.value;
    const refusal = this.#findRefusal(head, source);
    if (refusal) return [refusal];
    if (!this.#isWanted(head)) return [];
    this.#candidate = { head, source };
    this.#reuseAppliedObjects(head);
    return this.#advance();
  }

  /** Takes a part that was fetched. */
  offerPart(
    digest: string,
    text: string,
    source: ConfigSource,
  ): FollowerAction[] {
    const revision = this.#candidate?.head.revision ?? 0;
    if (this.#sha256Hex(text) !== digest) {
      const message = `the part ${digest} has another digest; it was damaged`;
      return [refuse("wrong-digest", source, revision, message)];
    }
    const contents = readPart(text);
    if (contents.isErr()) {
      this.#dropCandidate();
      const { message } = contents.error;
      return [refuse("malformed-part", source, revision, message)];
    }
    this.#parts.set(digest, { text, contents: contents.value });
    return this.#candidate ? this.#advance() : [];
  }

  /**
   * Gives up the pending head, after no source had its parts. The next offered
   * head above the one in force is taken, the same one included.
   */
  abandonPending(): void {
    this.#candidate = undefined;
  }

  #findRefusal(
    head: ConfigHead,
    source: ConfigSource,
  ): FollowerAction | undefined {
    const applied = this.#applied?.head;
    if (!applied || head.revision > applied.revision) return undefined;
    if (head.revision < applied.revision) {
      // A peer that lags behind is normal; the platform must not go back.
      if (source.kind === "peer") return undefined;
      const message = `the platform offers revision ${head.revision} and ` +
        `${applied.revision} is in force; it was restored to an older state. ` +
        "Publish again with --after-restore";
      return refuse("older-revision", source, head.revision, message);
    }
    if (head.nonce === applied.nonce) return undefined;
    const message = `revision ${head.revision} was published twice, by ` +
      `${applied.publishedBy} (in force) and by ${head.publishedBy}; ` +
      "publish again to settle it";
    return refuse("conflicting-revision", source, head.revision, message);
  }

  #isWanted(head: ConfigHead): boolean {
    if (head.nonce === this.#invalidNonce) return false;
    if (head.revision <= (this.#applied?.head.revision ?? 0)) return false;
    return head.revision > (this.#candidate?.head.revision ?? 0);
  }

  /**
   * After a change of layout, the parts of the new one that hold only known
   * objects are built here instead of being fetched.
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
    const { leaves, held } = collected;
    const before = this.#isSameLayout(head) ? this.#leaves : NO_LEAVES;
    const changed = selectChangedLeaves(before, leaves);
    const set = createObjectSet(listLeafObjects(leaves));
    const fault = findFault(set, changed, head);
    if (fault !== undefined) {
      this.#dropCandidate();
      return [refuse("invalid-set", source, head.revision, fault)];
    }
    const replaced = selectChangedLeaves(leaves, this.#leaves);
    const changes = diffObjectLists(
      listLeafObjects(replaced),
      listLeafObjects(selectChangedLeaves(this.#leaves, leaves)),
    );
    this.#applied = { head, set };
    this.#candidate = undefined;
    this.#leaves = leaves;
    this.#parts = new Map(held);
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

/** What is wrong with a set, of which only some leaves are new. */
function findFault(
  set: ObjectSet,
  changed: ReadonlyMap<string, Leaf>,
  head: ConfigHead,
): string | undefined {
  const misplaced = findMisplacedObject(changed, head.layout);
  if (misplaced) return `${misplaced} is not in its leaf; publish again`;
  const faults = checkPublishedSet(set);
  if (faults.length === 0) return undefined;
  return faults.slice(0, MAX_TOLD_FAULTS).map(formatConfigFault).join("; ");
}

function refuse(
  reason: ConfigRefusalReason,
  source: ConfigSource,
  revision: number,
  message: string,
): FollowerAction {
  return { kind: "refuse", reason, source, revision, message };
}
