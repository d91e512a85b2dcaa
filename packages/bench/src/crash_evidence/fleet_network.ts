import { relayRecipients } from "@coltsfootford/core";
import type { RandomSource } from "../load/index.ts";
import type { EventHeap } from "../replay/index.ts";

const HOP_MS = 6;
/** Time after which a daemon takes a silent recipient for unreachable. */
const CALL_TIMEOUT_MS = 400;
const ZONES = 4;

export function zoneOf(index: number): number {
  return index % ZONES;
}

/** Relays announcements between daemons, some of which can't be reached. */
export class FleetNetwork {
  /** Messages between daemons. */
  messages = 0;
  /** Daemons that are down, frozen or replaced without notice. */
  readonly down = new Set<number>();
  /** The zone that is cut off from the others, if any. */
  cutZone: number | undefined;
  readonly #heap: EventHeap;
  readonly #random: RandomSource;
  readonly #names: readonly string[];
  readonly #indexByName: ReadonlyMap<string, number>;

  constructor(heap: EventHeap, random: RandomSource, daemons: number) {
    this.#heap = heap;
    this.#random = random;
    this.#names = Array.from(
      { length: daemons },
      (_, index) => `daemon-${String(index).padStart(4, "0")}`,
    );
    this.#indexByName = new Map(
      this.#names.map((name, index) => [name, index]),
    );
  }

  canReach(from: number, to: number): boolean {
    if (this.down.has(from) || this.down.has(to)) return false;
    if (zoneOf(from) === zoneOf(to)) return true;
    return zoneOf(from) !== this.cutZone && zoneOf(to) !== this.cutZone;
  }

  /** Announces from one daemon to all others. */
  announce(origin: number, deliver: (daemon: number) => void): void {
    const received = new Set([origin]);
    const relayFor = (sender: number, replaced: number) => {
      const recipients = relayRecipients(
        this.#names,
        this.#names[origin]!,
        this.#names[replaced]!,
      );
      for (const name of recipients) send(sender, this.#indexByName.get(name)!);
    };
    const send = (sender: number, recipient: number) => {
      this.messages += 1;
      if (!this.canReach(sender, recipient)) {
        this.#heap.after(CALL_TIMEOUT_MS, () => relayFor(sender, recipient));
        return;
      }
      this.#heap.after(HOP_MS * (0.5 + this.#random.float()), () => {
        if (received.has(recipient) || this.down.has(recipient)) return;
        received.add(recipient);
        relayFor(recipient, recipient);
        deliver(recipient);
      });
    };
    relayFor(origin, origin);
  }
}
