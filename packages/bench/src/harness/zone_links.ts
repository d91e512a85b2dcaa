import { type LinkState, TcpLink } from "./tcp_link.ts";

/** Name of the platform as the endpoint of a link. */
export const PLATFORM = "platform";

interface PairLinks {
  readonly state: LinkState;
  /** Promises, so that concurrent calls for the same port share one link. */
  readonly byPort: Map<number, Promise<TcpLink>>;
}

/**
 * The links between availability zones, and between zones and the platform.
 * Each ordered pair has one state; links are opened on demand.
 */
export class ZoneLinks {
  readonly #oneWayDelayMs: number;
  readonly #pairs = new Map<string, PairLinks>();

  constructor(oneWayDelayMs: number) {
    this.#oneWayDelayMs = oneWayDelayMs;
  }

  /** Returns the port by which `fromZone` reaches `port` of `toZone`. */
  async reach(fromZone: string, toZone: string, port: number): Promise<number> {
    if (fromZone === toZone) return port;
    const pair = this.#findOrCreatePair(fromZone, toZone);
    let link = pair.byPort.get(port);
    if (!link) {
      link = TcpLink.open(port, pair.state);
      pair.byPort.set(port, link);
    }
    return (await link).port;
  }

  /** Partitions a zone from all others and optionally from the platform. */
  async cutZone(
    zone: string,
    options: { readonly platform: boolean },
  ): Promise<void> {
    await this.#setCut(zone, true, options.platform);
  }

  /** Ends all partitions of a zone. */
  async healZone(zone: string): Promise<void> {
    await this.#setCut(zone, false, true);
  }

  async close(): Promise<void> {
    for (const pair of this.#pairs.values()) {
      for (const link of pair.byPort.values()) await (await link).close();
    }
  }

  async #setCut(
    zone: string,
    isCut: boolean,
    includesPlatform: boolean,
  ): Promise<void> {
    for (const [name, pair] of this.#pairs) {
      const [from, to] = name.split(">");
      if (from !== zone && to !== zone) continue;
      if (to === PLATFORM && !includesPlatform) continue;
      pair.state.isCut = isCut;
      if (!isCut) continue;
      for (const link of pair.byPort.values()) {
        (await link).breakConnections();
      }
    }
  }

  #findOrCreatePair(fromZone: string, toZone: string): PairLinks {
    const name = `${fromZone}>${toZone}`;
    let pair = this.#pairs.get(name);
    if (!pair) {
      const state = { oneWayDelayMs: this.#oneWayDelayMs, isCut: false };
      pair = { state, byPort: new Map() };
      this.#pairs.set(name, pair);
    }
    return pair;
  }
}
