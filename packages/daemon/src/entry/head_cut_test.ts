import { request } from "node:http";
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "@jest/globals";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";
import { ENTRY_REQUESTS } from "./testing/entry_requests.ts";

let fixture: EntryFixture;

afterEach(() => fixture.close());

interface ClientResult {
  readonly status: number;
  readonly isComplete: boolean;
  readonly outcome: string | undefined;
}

function send(path: string, body: string): Promise<ClientResult> {
  return new Promise((resolve) => {
    const failed = { status: 0, isComplete: false, outcome: undefined };
    const outgoing = request(`${fixture.baseUrl}${path}`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-coltsfoot-team": "open",
      },
    }, (response) => {
      response.on("error", () => {});
      response.resume();
      response.on("close", () => {
        const outcome = response.headers["x-coltsfoot-outcome"]?.toString();
        const status = response.statusCode ?? 0;
        resolve({ status, isComplete: response.complete, outcome });
      });
    });
    outgoing.on("error", () => resolve(failed));
    outgoing.end(body);
  });
}

const ENDS: Record<string, (socket: Socket) => void> = {
  "closes": (socket) => socket.end(),
  "resets": (socket) => socket.resetAndDestroy(),
};

// Guards against a success with an empty or short body that looks complete,
// after a target that stopped in the head of its response.
describe.each(ENTRY_REQUESTS)(
  "%s whose target stops in the head",
  (_, path, body) => {
    const head = (id: string) =>
      `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n` +
      `x-request-id: ${id}\r\ncontent-length: 40\r\n\r\n`;

    it.each(Object.keys(ENDS))(
      "and %s gets no complete success",
      async (end) => {
        let cutAt = 0;
        fixture = await startEntryFixture((incoming) => {
          const { socket } = incoming;
          incoming.resume();
          const text = head(String(incoming.headers["x-request-id"]));
          const sent = text.slice(0, Math.ceil(text.length * cutAt));
          socket.write(sent, () => ENDS[end]!(socket));
        });
        for (cutAt of [0, 0.05, 0.2, 0.4, 0.6, 0.8, 0.97, 1]) {
          const result = await send(path, body);
          const isSuccess = result.status === 200 && result.isComplete;
          expect([cutAt, isSuccess]).toEqual([cutAt, false]);
          // The target may have executed the request.
          expect(result.outcome).not.toBe("not-run");
        }
      },
    );
  },
);
