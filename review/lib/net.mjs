/** Free ports on the loopback address. */
import { createServer } from "node:net";

export const HOST = "127.0.0.1";

export function listenOnFreePort(server) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, HOST, () => resolve(server.address().port));
  });
}

export async function findFreePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = [];
  for (const server of servers) ports.push(await listenOnFreePort(server));
  for (const server of servers) {
    await new Promise((resolve) => server.close(resolve));
  }
  return ports;
}
