import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { createStepError, type StepError } from "@coltsfootford/core";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";

/** A listening port of the daemon. */
export interface OpenPort {
  readonly server: Server;
  readonly port: number;
}

/** Opens a port for `app`; the error for a busy port names its setting. */
export function listen(
  app: Hono<never> | Hono,
  name: string,
  address: { readonly host: string; readonly port: number },
): Promise<Result<OpenPort, StepError<"port-busy">>> {
  const server = createAdaptorServer({
    fetch: app.fetch as Hono["fetch"],
  }) as Server;
  return new Promise((resolve) => {
    server.once("error", (cause) => {
      const message =
        `field ${name}: cannot open ${address.host}:${address.port}; choose a free port`;
      resolve(
        err(createStepError("port-busy", `${name}.open`, message, { cause })),
      );
    });
    server.listen(address.port, address.host, () => {
      const { port } = server.address() as AddressInfo;
      resolve(ok({ server, port }));
    });
  });
}
