/**
 * A minimal pass-through proxy with hono and undici, the baseline for a daemon.
 * Its argument is the URL of the target; it prints its port as one JSON line.
 */
import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { Pool } from "undici";

const pool = new Pool(process.argv[2] ?? "", { connections: 512 });
const app = new Hono();

app.post("*", async (context) => {
  const response = await pool.request({
    method: "POST",
    path: context.req.path,
    headers: { "content-type": "application/json" },
    body: Buffer.from(await context.req.arrayBuffer()),
  });
  const type = String(response.headers["content-type"]);
  return new Response(response.body, {
    status: response.statusCode,
    headers: { "content-type": type },
  });
});

serve({ fetch: app.fetch, port: 0, hostname: "127.0.0.1" }, ({ port }) => {
  console.log(JSON.stringify({ event: "ready", port }));
});
