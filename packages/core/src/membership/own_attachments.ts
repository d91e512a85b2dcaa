import type { MembershipOptions } from "./options.ts";
import type { AttachedValue, AttachmentDelta } from "./wire.ts";

/** Encoded size of an attachment, for the share of the byte budget. */
const ATTACHMENT_BYTES = 60;
/** Daemons for which one refresh period of the attachments is meant. */
const REFRESH_SLICE_DAEMONS = 16;
const MS_PER_SECOND = 1000;

/** The fleet's attachments share a byte budget, so more daemons wait longer. */
export function attachPeriodMs(
  options: MembershipOptions,
  memberCount: number,
): number {
  const fleetBytes = memberCount * ATTACHMENT_BYTES;
  const { attachMs, attachBudgetBytesPerSecond } = options;
  const shareMs = fleetBytes * MS_PER_SECOND / attachBudgetBytesPerSecond;
  return Math.max(attachMs, shareMs);
}

/** Time between repeats of unchanged attachments, in ms. */
export function refreshPeriodMs(
  options: MembershipOptions,
  memberCount: number,
): number {
  const slices = memberCount / REFRESH_SLICE_DAEMONS;
  return options.attachRefreshMs * Math.max(1, slices);
}

interface OwnValue {
  readonly text: string;
  readonly value: AttachedValue;
  readonly version: number;
  isDirty: boolean;
}

/** The values that this daemon attached to itself, and when to send them. */
export class OwnAttachments {
  readonly #vm: string;
  readonly #values = new Map<string, OwnValue>();
  #nextVersion = 1;
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #refreshedAtMs = Number.NEGATIVE_INFINITY;

  constructor(vm: string) {
    this.#vm = vm;
  }

  /** Sets a value; the same value again costs nothing. */
  set(key: string, value: AttachedValue): void {
    const text = JSON.stringify(value);
    if (this.#values.get(key)?.text === text) return;
    const version = this.#nextVersion++;
    this.#values.set(key, { text, value, version, isDirty: true });
  }

  /** The current value of a key. */
  get(key: string): AttachedValue | undefined {
    return this.#values.get(key)?.value;
  }

  /** When changed values may be sent, or undefined where none changed. */
  dueMs(attachMs: number): number | undefined {
    const isDirty = [...this.#values.values()].some((entry) => entry.isDirty);
    return isDirty ? this.#sentAtMs + attachMs : undefined;
  }

  /** The changed values where they are due, all of them for a refresh. */
  takeDue(
    incarnation: number,
    attachMs: number,
    refreshMs: number,
    nowMs: number,
  ): AttachmentDelta[] {
    if (nowMs - this.#sentAtMs < attachMs) return [];
    const isRefresh = nowMs - this.#refreshedAtMs >= refreshMs;
    if (isRefresh) this.#refreshedAtMs = nowMs;
    const deltas: AttachmentDelta[] = [];
    for (const [key, entry] of this.#values) {
      if (!entry.isDirty && !isRefresh) continue;
      // A refresh needs a new version, else nobody would pass it on.
      const version = entry.isDirty ? entry.version : this.#nextVersion++;
      this.#values.set(key, { ...entry, version, isDirty: false });
      deltas.push(["a", this.#vm, incarnation, version, key, entry.value]);
    }
    if (deltas.length > 0) this.#sentAtMs = nowMs;
    return deltas;
  }
}
