import type { RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Calls `listener` for one request of a connection at a time: for a pipelined
 * request, once the response to the one before it has ended. A client takes no
 * more of a daemon and its targets by one connection than without pipelining,
 * and a request whose connection ends before its turn has not executed.
 */
export function serveInOrder(listener: RequestListener): RequestListener {
  const latest = new WeakMap<Socket, ServerResponse>();
  return (incoming, outgoing) => {
    const { socket } = incoming;
    const previous = latest.get(socket);
    latest.set(socket, outgoing);
    // An idle connection would keep its last request, and that the head.
    outgoing.once("close", () => {
      if (latest.get(socket) === outgoing) latest.delete(socket);
    });
    const serve = () => {
      if (socket.writable) listener(incoming, outgoing);
    };
    if (!previous || previous.closed) return serve();
    previous.once("close", serve);
  };
}
