import {
  PlacementPolicy,
  type PlacementRequest,
  type PoolView,
  RendezvousPolicy,
} from "@coltsfootford/core";
import type { World } from "./world.ts";

/**
 * The reference policy: reads every cache and every target's state without
 * delay and prefers the target that caches most of the chat.
 */
export class FullKnowledgePolicy extends PlacementPolicy {
  override readonly name = "full-knowledge";
  readonly #world: World;
  readonly #fallback = new RendezvousPolicy();

  constructor(world: World) {
    super();
    this.#world = world;
  }

  override orderTargets(
    request: PlacementRequest,
    view: PoolView,
  ): readonly string[] {
    const chat = Number(request.chatKey);
    const cached = this.#world.engines()
      .filter((engine) => engine.isInPool)
      .map((engine) => ({
        name: engine.name,
        tokens: engine.cachedTokensOf(chat),
      }))
      .filter((entry) => entry.tokens > 0)
      .sort((a, b) => b.tokens - a.tokens)
      .map((entry) => entry.name);
    const rest = this.#fallback.orderTargets(request, view)
      .filter((name) => !cached.includes(name));
    return [...cached, ...rest].slice(0, request.maxTargets);
  }
}
