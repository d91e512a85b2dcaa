import { createServer, type RequestListener, type Server } from "node:http";
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

/** The address of a port to open. */
interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

type ListenResult = Promise<Result<OpenPort, StepError<"port-busy">>>;

/** Opens a port for `app`; the error for a busy port names its setting. */
export function listen(
  app: Hono<never> | Hono,
  name: string,
  address: ListenAddress,
): ListenResult {
  const fetch = app.fetch as Hono["fetch"];
  return openPort(createAdaptorServer({ fetch }) as Server, name, address);
}

/**
 * Opens a port for a listener that writes responses itself. No framework ends a
 * response in its place.
 */
export function listenRaw(
  listener: RequestListener,
  name: string,
  address: ListenAddress,
): ListenResult {
  return openPort(createServer(listener), name, address);
}

function openPort(
  server: Server,
  name: string,
  address: ListenAddress,
): ListenResult {
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
