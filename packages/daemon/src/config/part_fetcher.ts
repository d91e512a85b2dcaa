import type { ConfigSource, WantedParts } from "@coltsfootford/core";
import { type KeyValueClient, readConfigParts } from "@coltsfootford/key-value";
import { MAX_PARTS_PER_CALL } from "./config_messages.ts";
import type { ConfigPeer, ConfigPeers } from "./config_peers.ts";

/** Other daemons that are asked where the first source has no answer. */
const MAX_FALLBACK_PEERS = 2;

/** A part with the source that gave it. */
export interface FetchedPart {
  readonly digest: string;
  readonly text: string;
  readonly source: ConfigSource;
}

/** Fetches parts from the source of their head, else from others. */
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
   * Fetches some of the parts, at most `MAX_PARTS_PER_CALL`. The answer is
   * empty only where no source had any of them. `excluded` is a source that
   * gave damaged parts.
   */
  async fetchSome(
    wanted: WantedParts,
    excluded: ReadonlySet<string>,
  ): Promise<FetchedPart[]> {
    const digests = wanted.digests.slice(0, MAX_PARTS_PER_CALL);
    for (const source of this.#listSources(wanted.source)) {
      if (excluded.has(nameSource(source))) continue;
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
    const answer = await readConfigParts(this.#keyValue, digests);
    if (answer.isErr()) return [];
    return [...answer.value].map(([digest, text]) => ({
      digest,
      text,
      source: { kind: "platform" },
    }));
  }

  async #fetchFromPeer(
    vm: string,
    digests: readonly string[],
  ): Promise<FetchedPart[]> {
    const answer = await this.#peers.getParts(vm, { digests: [...digests] });
    if (answer.isErr()) return [];
    return Object.entries(answer.value.parts)
      .filter(([digest]) => digests.includes(digest))
      .map(([digest, text]) => ({
        digest,
        text,
        source: { kind: "peer", vm },
      }));
  }
}

/** Names a source for logs and for the list of excluded ones. */
export function nameSource(source: ConfigSource): string {
  return source.kind === "platform" ? "platform" : source.vm;
}

/**
 * The live peers of the own zone or of others; all that are known of where
 * none is live, since a cut-off VM that starts may not have heard of any yet.
 */
export function selectPeers(
  peers: readonly ConfigPeer[],
  isOwnZone: boolean,
): readonly ConfigPeer[] {
  const known = peers.filter((peer) => peer.isOwnZone === isOwnZone);
  const live = known.filter((peer) => peer.isLive);
  return live.length > 0 ? live : known;
}

/** Picks up to `count` items without repeats. */
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
