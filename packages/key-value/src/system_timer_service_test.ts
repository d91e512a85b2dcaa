import { createServer, type Server, type Socket } from "node:net";
import { type AddressInfo, connect } from "node:net";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "./system_timer_service.ts";

const TIMER_MS = 30;
const FREEZE_MS = 100;

const timer = new SystemTimerService();
let server: Server;
let sender: Socket;
let receiver: Socket;
let events: string[];

beforeEach(async () => {
  events = [];
  server = createServer((socket) => {
    sender = socket;
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  receiver = connect(port, "127.0.0.1");
  receiver.on("data", () => events.push("input"));
  await Promise.all([once(server, "connection"), once(receiver, "connect")]);
});

afterEach(() => {
  receiver.destroy();
  sender.destroy();
  server.close();
});

/** Sends bytes that arrive while this process is stopped. */
function receiveWhileStopped(): void {
  sender.write("bytes");
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, FREEZE_MS);
}

describe("SystemTimerService", () => {
  // Guards against time limits that end what has arrived in time, since the
  // timers of a process that was stopped run before it reads its sockets.
  it.each(["after", "every"] as const)(
    "calls what is due `%s` a time after the input that has arrived",
    async (method) => {
      const cancel = timer[method](TIMER_MS, () => events.push("timer"));
      receiveWhileStopped();
      while (!events.includes("timer")) await sleep(1);
      cancel();
      expect(events.slice(0, 2)).toEqual(["input", "timer"]);
    },
  );

  // Guards against a time limit that passes although the input has met it.
  it.each(["after", "every"] as const)(
    "does not call what the input has cancelled: %s",
    async (method) => {
      const cancel = timer[method](TIMER_MS, () => events.push("timer"));
      receiver.once("data", cancel);
      receiveWhileStopped();
      await sleep(2 * TIMER_MS);
      expect(events).toEqual(["input"]);
    },
  );
});
