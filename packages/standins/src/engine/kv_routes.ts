import type { Hono } from "hono";
import { z } from "zod";
import { type NodeEnv, notRunResponse, readJsonBody } from "../http/index.ts";
import type { PrefixCache } from "./prefix_cache.ts";

/** Size of the KV cache of one token on the engines that this one simulates. */
const KV_BYTES_PER_TOKEN = 131_072;

const exportSchema = z.object({ prefix_hash: z.string().min(1) });
const importSchema = z.object({
  prefixes: z.array(z.object({
    hash: z.string().min(1),
    parentHash: z.string(),
    tokens: z.int().positive(),
  })).min(1),
});

/** Adds the routes that export and import the KV cache of a prefix. */
export function addKvRoutes(app: Hono<NodeEnv>, cache: PrefixCache): void {
  app.post("/kv/export", async (context) => {
    const body = await readJsonBody(context, exportSchema);
    if (!body.ok) return notRunResponse(400, "invalid_request", body.message);
    const prefixes = cache.chainOf(body.value.prefix_hash);
    if (prefixes.length === 0) {
      return notRunResponse(404, "not_cached", "the prefix is not cached here");
    }
    const tokens = prefixes.reduce((sum, prefix) => sum + prefix.tokens, 0);
    const size_bytes = tokens * KV_BYTES_PER_TOKEN;
    return context.json({ prefixes, tokens, size_bytes });
  });
  app.post("/kv/import", async (context) => {
    const body = await readJsonBody(context, importSchema);
    if (!body.ok) return notRunResponse(400, "invalid_request", body.message);
    cache.store(body.value.prefixes);
    return context.json({ imported: body.value.prefixes.length });
  });
}
