import type { ConfigSource, WantedParts } from "@coltsfootford/core";
import { type KeyValueClient, readConfigParts } from "@coltsfootford/key-value";
import { MAX_PARTS_PER_CALL } from "./config_messages.ts";
import type { ConfigPeer, ConfigPeers } from "./config_peers.ts";

/** Other daemons that are queried if the first source provides no parts. */
const MAX_FALLBACK_PEERS = 2;

/** A part with the source that provided it. */
export interface FetchedPart {
  readonly digest: string;
  readonly text: string;
  readonly source: ConfigSource;
}

/** Fetches parts from the source of their head, or from fallback sources. */
export class PartFetcher {
  readonly #keyValue: KeyValueClient;
  readonly #peers: ConfigPeers;
  readonly #random: () => number;

  constructor(
    keyValue: KeyValueClient,
    peers: ConfigPeers,
    random: () => number,
  ) {
    this.#keyValue = keyValue;
    this.#peers = peers;
    this.#random = random;
  }

  /**
   * Fetches some of the parts, at most `MAX_PARTS_PER_CALL`. The result is
   * empty only if no source has any of the parts. `excluded` lists the sources
   * that provided damaged parts.
   */
  async fetchSome(
    wanted: WantedParts,
    excluded: ReadonlySet<string>,
  ): Promise<FetchedPart[]> {
    const digests = wanted.digests.slice(0, MAX_PARTS_PER_CALL);
    for (const source of this.#listSources(wanted.source)) {
      if (excluded.has(formatSource(source))) continue;
      const parts = source.kind === "platform"
        ? await this.#fetchFromPlatform(digests)
        : await this.#fetchFromPeer(source.vm, digests);
      if (parts.length > 0) return parts;
    }
    return [];
  }

  #listSources(first: ConfigSource): ConfigSource[] {
    const platform: ConfigSource = { kind: "platform" };
    const others = pickRandom(
      selectPeers(this.#peers.list(), true),
      MAX_FALLBACK_PEERS,
      this.#random,
    );
    const peers = others.map((peer): ConfigSource => ({
      kind: "peer",
      vm: peer.vm,
    }));
    if (first.kind === "platform") return [platform, ...peers];
    return [first, platform, ...peers];
  }

  async #fetchFromPlatform(digests: readonly string[]): Promise<FetchedPart[]> {
    const response = await readConfigParts(this.#keyValue, digests);
    if (response.isErr()) return [];
    return [...response.value].map(([digest, text]) => ({
      digest,
      text,
      source: { kind: "platform" },
    }));
  }

  async #fetchFromPeer(
    vm: string,
    digests: readonly string[],
  ): Promise<FetchedPart[]> {
    const response = await this.#peers.getParts(vm, { digests: [...digests] });
    if (response.isErr()) return [];
    return Object.entries(response.value.parts)
      .filter(([digest]) => digests.includes(digest))
      .map(([digest, text]) => ({
        digest,
        text,
        source: { kind: "peer", vm },
      }));
  }
}

/** Formats the name of a source for logs and for the excluded sources. */
export function formatSource(source: ConfigSource): string {
  return source.kind === "platform" ? "platform" : source.vm;
}

/**
 * The live peers of the own zone or of other zones. If none is live, all known
 * peers: a VM that starts while it is partitioned may not have received a
 * message from any peer yet.
 */
export function selectPeers(
  peers: readonly ConfigPeer[],
  isOwnZone: boolean,
): readonly ConfigPeer[] {
  const known = peers.filter((peer) => peer.isOwnZone === isOwnZone);
  const live = known.filter((peer) => peer.isLive);
  return live.length > 0 ? live : known;
}

/** Selects up to `count` random items without repetition. */
export function pickRandom<Item>(
  items: readonly Item[],
  count: number,
  random: () => number,
): Item[] {
  const rest = [...items];
  const picked: Item[] = [];
  while (picked.length < count && rest.length > 0) {
    const index = Math.floor(random() * rest.length);
    picked.push(...rest.splice(index, 1));
  }
  return picked;
}
