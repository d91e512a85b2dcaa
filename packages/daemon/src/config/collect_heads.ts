import type { ConfigSource, TimerService } from "@coltsfootford/core";
import type { ConfigPeers } from "./config_peers.ts";
import { pickRandom, selectPeers } from "./part_fetcher.ts";

/** Longest wait for the heads of the platform and of peers. */
const START_WAIT_MS = 1_500;
/** Daemons that are asked, of the own zone and of others each. */
const START_PEERS = 3;

/** A head, unchecked, with its source. */
export interface OfferedHead {
  readonly head: unknown;
  readonly source: ConfigSource;
}

/** What `collectHeads` asks. */
export interface CollectHeadsParts {
  readonly peers: ConfigPeers;
  readonly timer: TimerService;
  readonly random: () => number;
  /** Reads the platform's head; undefined where there is none. */
  readonly readPlatformHead: () => Promise<unknown>;
}

/**
 * Asks the platform and some peers for their heads, highest first in the
 * answer. Waiting for all of them keeps a new daemon from serving the set of a
 * restored platform while its peers hold a later one.
 */
export async function collectHeads(
  parts: CollectHeadsParts,
): Promise<OfferedHead[]> {
  const { peers, timer } = parts;
  const offers: OfferedHead[] = [];
  const askPeer = async (vm: string) => {
    const answer = await peers.getHead(vm);
    if (answer.isErr() || !answer.value.head) return;
    offers.push({ head: answer.value.head, source: { kind: "peer", vm } });
  };
  const askPlatform = async () => {
    const head = await parts.readPlatformHead();
    if (head) offers.push({ head, source: { kind: "platform" } });
  };
  const asked = [askPlatform(), ...pickStartPeers(parts).map(askPeer)];
  await Promise.race([
    Promise.allSettled(asked),
    new Promise<void>((resolve) => timer.after(START_WAIT_MS, resolve)),
  ]);
  const collected = [...offers];
  collected.sort((a, b) => readRevision(b.head) - readRevision(a.head));
  return collected;
}

function pickStartPeers({ peers, random }: CollectHeadsParts): string[] {
  const listed = peers.list();
  return [
    ...pickRandom(selectPeers(listed, true), START_PEERS, random),
    ...pickRandom(selectPeers(listed, false), START_PEERS, random),
  ].map((peer) => peer.vm);
}

function readRevision(head: unknown): number {
  if (typeof head !== "object" || head === null) return 0;
  return Number((head as { revision?: unknown }).revision) || 0;
}
