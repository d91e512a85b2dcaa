import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { connectChecked } from "./checked_socket.ts";

const HOST = "127.0.0.1";
const REPEATS = 20;
const ENDS: Record<string, (socket: Socket) => void> = {
  "closes": (socket) => socket.end("a part"),
  "resets at once": (socket) =>
    socket.write("a part", () => socket.resetAndDestroy()),
  "resets later": (socket) => {
    socket.write("a part");
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
};

let server: Server;
let end: (socket: Socket) => void;

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => end(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
});

afterEach(() => {
  server.close();
});

/** Sends a byte, and resolves with what arrived and how the connection ended. */
function exchange(): Promise<readonly [string, string]> {
  const { port } = server.address() as AddressInfo;
  const socket = connectChecked({ host: HOST, port });
  let text = "";
  socket.write("a");
  socket.on("data", (chunk) => text += chunk.toString());
  return new Promise((resolve) => {
    socket.on("end", () => resolve([text, "end"]));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) => resolve([text, error.code ?? ""]),
    );
  });
}

// Guards against a reset that the event loop reports as an end.
describe("CheckedSocket", () => {
  it.each([
    ["closes", "end"],
    ["resets at once", "ERR_CONNECTION_RESET"],
    ["resets later", "ERR_CONNECTION_RESET"],
  ])("of a peer that %s reports %s", async (name, expected) => {
    end = ENDS[name]!;
    for (let repeat = 0; repeat < REPEATS; repeat++) {
      expect(await exchange()).toEqual(["a part", expected]);
    }
  });
});
