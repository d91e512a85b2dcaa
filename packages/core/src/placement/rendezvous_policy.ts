import { hash32, mixHash32 } from "../hash/index.ts";
import { PlacementPolicy, type PlacementRequest } from "./placement_policy.ts";
import type { PlacementTarget, PoolView } from "./pool_view.ts";
import { TopScores } from "./top_scores.ts";

const HASH_RANGE = 2 ** 32;
/** Lower bound of a zone's weight; avoids a division by zero. */
const MIN_ZONE_WEIGHT = 1e-6;

interface Candidate {
  readonly index: number;
  readonly target: PlacementTarget;
  /** Lower is better: an exponential variate divided by the zone's weight. */
  readonly cost: number;
}

/**
 * Weighted rendezvous hashing of the chat key over the pool. A target that
 * joins or leaves moves only its own chats. All daemons spill to the same
 * second target, so that its cache gets hits as well.
 *
 * A target in another zone has the weight
 * `1 - crossZonePenalty * (1 - reuseWeight)`. With a reuse weight of 1 the
 * order does not depend on the daemon's zone. With a lower reuse weight, the
 * two best targets are swapped when the reported load of the first exceeds that
 * of the second by more than `reuseWeight` times the mean.
 */
export class RendezvousPolicy extends PlacementPolicy {
  override readonly name = "rendezvous";

  override orderTargets(
    request: PlacementRequest,
    view: PoolView,
  ): readonly string[] {
    const candidates = rankCandidates(request, view);
    preferLessLoaded(candidates, request, view);
    return candidates.map((candidate) => candidate.target.name);
  }
}

/**
 * Ranks the targets by cost. Among targets of equal weight, the order by cost
 * is the order by hash, so only the top hashes of each weight need a logarithm.
 */
function rankCandidates(
  request: PlacementRequest,
  view: PoolView,
): Candidate[] {
  const ownZone = new TopScores(request.maxTargets);
  const otherZones = new TopScores(request.maxTargets);
  const onProbation = new TopScores(request.maxTargets);
  const keyHash = hash32(request.chatKey);
  const ownZoneNumber = view.zoneNumberOf(request.availabilityZone);
  const { nameHashes, zoneNumbers, probationFlags } = view;
  for (let index = 0; index < nameHashes.length; index++) {
    const score = mixHash32(keyHash, nameHashes[index]!);
    const isOwnZone = zoneNumbers[index] === ownZoneNumber;
    const isLast = probationFlags[index] === 1;
    const top = isLast ? onProbation : isOwnZone ? ownZone : otherZones;
    if (score > top.lowestScore) top.offer(index, score);
  }
  const otherWeight = zoneWeight(request);
  const ranked = [
    ...createCandidates(ownZone, view, 1),
    ...createCandidates(otherZones, view, otherWeight),
  ].sort(compareCandidates);
  const last = createCandidates(onProbation, view, 1);
  return [...ranked, ...last].slice(0, request.maxTargets);
}

function zoneWeight(request: PlacementRequest): number {
  const weight = 1 - request.crossZonePenalty * (1 - request.reuseWeight);
  return Math.max(MIN_ZONE_WEIGHT, weight);
}

function createCandidates(
  top: TopScores,
  view: PoolView,
  weight: number,
): Candidate[] {
  const scores = top.scores();
  return top.indexes().map((index, position) => ({
    index,
    target: view.targets[index]!,
    cost: -Math.log((scores[position]! + 1) / HASH_RANGE) / weight,
  }));
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return a.cost - b.cost || (a.target.name < b.target.name ? -1 : 1);
}

function preferLessLoaded(
  candidates: Candidate[],
  request: PlacementRequest,
  view: PoolView,
): void {
  if (request.reuseWeight >= 1) return;
  const [first, second] = candidates;
  if (!first || !second) return;
  const excessRequests = view.loadAt(first.index) -
    view.loadAt(second.index);
  const toleratedRequests = 1 +
    request.reuseWeight * view.meanLoadRequests();
  if (excessRequests <= toleratedRequests) return;
  candidates[0] = second;
  candidates[1] = first;
}
