import type { MembershipOptions } from "./options.ts";
import type { AttachedValue, AttachmentDelta } from "./wire.ts";

/** Assumed encoded size of an attachment, for its share of the bandwidth. */
const ATTACHMENT_BYTES = 60;
/** Daemons that one refresh period of the attachments is sized for. */
const REFRESH_SLICE_DAEMONS = 16;
const MS_PER_SECOND = 1000;

/**
 * Shortest time between two sends of changed attachments, in ms. The period
 * grows with the fleet, because all daemons share a bandwidth budget.
 */
export function attachPeriodMs(
  options: MembershipOptions,
  memberCount: number,
): number {
  const fleetBytes = memberCount * ATTACHMENT_BYTES;
  const { attachMs, attachBudgetBytesPerSecond } = options;
  const shareMs = fleetBytes * MS_PER_SECOND / attachBudgetBytesPerSecond;
  return Math.max(attachMs, shareMs);
}

/** Time between refreshes of unchanged attachments, in ms. */
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

/** The values that this daemon attached to itself, with their send times. */
export class OwnAttachments {
  readonly #vm: string;
  readonly #values = new Map<string, OwnValue>();
  #nextVersion = 1;
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #refreshedAtMs = Number.NEGATIVE_INFINITY;

  constructor(vm: string) {
    this.#vm = vm;
  }

  /** Sets a value; an unchanged value is not sent again. */
  set(key: string, value: AttachedValue): void {
    const text = JSON.stringify(value);
    if (this.#values.get(key)?.text === text) return;
    const version = this.#nextVersion++;
    this.#values.set(key, { text, value, version, isDirty: true });
  }

  get(key: string): AttachedValue | undefined {
    return this.#values.get(key)?.value;
  }

  /** When changed values may be sent; undefined where none changed. */
  dueMs(sendPeriodMs: number): number | undefined {
    const isDirty = [...this.#values.values()].some((entry) => entry.isDirty);
    return isDirty ? this.#sentAtMs + sendPeriodMs : undefined;
  }

  /** Returns the changed values that are due, or all values for a refresh. */
  drainDue(
    incarnation: number,
    sendPeriodMs: number,
    refreshMs: number,
    nowMs: number,
  ): AttachmentDelta[] {
    if (nowMs - this.#sentAtMs < sendPeriodMs) return [];
    const isRefresh = nowMs - this.#refreshedAtMs >= refreshMs;
    if (isRefresh) this.#refreshedAtMs = nowMs;
    const deltas: AttachmentDelta[] = [];
    for (const [key, entry] of this.#values) {
      if (!entry.isDirty && !isRefresh) continue;
      // A refresh needs a new version, since known versions aren't forwarded.
      const version = entry.isDirty ? entry.version : this.#nextVersion++;
      this.#values.set(key, { ...entry, version, isDirty: false });
      deltas.push(["a", this.#vm, incarnation, version, key, entry.value]);
    }
    if (deltas.length > 0) this.#sentAtMs = nowMs;
    return deltas;
  }
}
