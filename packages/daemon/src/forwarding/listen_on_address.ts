import type { Server } from "node:http";
import type { Address } from "./settings.ts";

/** Resolves when the server accepts connections at the address. */
export function listen(server: Server, { host, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
