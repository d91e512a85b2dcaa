import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { EntryServer } from "./entry_server.ts";

/**
 * The app behind the callers' port. Answers are written to Node's own response
 * object, since a stream must be ended without its end marker where it is cut.
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
