import type { ConfigSource, TimerService } from "@coltsfootford/core";
import type { ConfigPeers } from "./config_peers.ts";
import { pickRandom, selectPeers } from "./part_fetcher.ts";

/** Longest wait for the heads of the platform and of the peers. */
const COLLECT_TIMEOUT_MS = 1_500;
/** Daemons that are queried in this zone, and as many again in other zones. */
const QUERIED_PEERS = 3;

/** An unvalidated head with its source. */
export interface OfferedHead {
  readonly head: unknown;
  readonly source: ConfigSource;
}

/** The dependencies of `collectHeads`. */
export interface CollectHeadsDependencies {
  readonly peers: ConfigPeers;
  readonly timer: TimerService;
  readonly random: () => number;
  /** Reads the platform's head; undefined if there is none. */
  readonly readPlatformHead: () => Promise<unknown>;
}

/**
 * Queries the platform and some peers for their heads and returns them with the
 * highest revision first. Waiting for all responses prevents a new daemon from
 * applying the configuration of a platform that was restored from a backup
 * while its peers have a newer one.
 */
export async function collectHeads(
  dependencies: CollectHeadsDependencies,
): Promise<OfferedHead[]> {
  const { peers, timer } = dependencies;
  const offers: OfferedHead[] = [];
  const queryPeer = async (vm: string) => {
    const response = await peers.getHead(vm);
    if (response.isErr() || !response.value.head) return;
    offers.push({ head: response.value.head, source: { kind: "peer", vm } });
  };
  const queryPlatform = async () => {
    const head = await dependencies.readPlatformHead();
    if (head) offers.push({ head, source: { kind: "platform" } });
  };
  const queries = [
    queryPlatform(),
    ...selectQueriedPeers(dependencies).map(queryPeer),
  ];
  await Promise.race([
    Promise.allSettled(queries),
    new Promise<void>((resolve) => timer.after(COLLECT_TIMEOUT_MS, resolve)),
  ]);
  const collected = [...offers];
  collected.sort((a, b) => readRevision(b.head) - readRevision(a.head));
  return collected;
}

function selectQueriedPeers(
  { peers, random }: CollectHeadsDependencies,
): string[] {
  const listed = peers.list();
  return [
    ...pickRandom(selectPeers(listed, true), QUERIED_PEERS, random),
    ...pickRandom(selectPeers(listed, false), QUERIED_PEERS, random),
  ].map((peer) => peer.vm);
}

function readRevision(head: unknown): number {
  if (typeof head !== "object" || head === null) return 0;
  return Number((head as { revision?: unknown }).revision) || 0;
}
