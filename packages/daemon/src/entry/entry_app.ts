import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { EntryServer } from "./entry_server.ts";

/**
 * The app behind the client port. It writes to Node's response object directly,
 * because an incomplete stream must be closed without its end marker.
 */
export function createEntryApp(entry: EntryServer): Hono {
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.all("*", async (context) => {
    const { incoming, outgoing } = context.env;
    await entry.handle(incoming as never, outgoing as never);
    return RESPONSE_ALREADY_SENT;
  });
  return app as unknown as Hono;
}
