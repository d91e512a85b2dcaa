import {
  decodePermitRequest,
  decodePermitResponse,
  decodeReturns,
  encodePermitRequest,
  encodePermitResponse,
  encodeReturns,
  type OwnedPool,
  OwnedTargets,
  PermitHolder,
  permitRequestParamsSchema,
  permitRequestResultSchema,
  permitReturnParamsSchema,
  type PoolLoadReport,
} from "@coltsfootford/core";
import { measureCpuUs, measureHeapBytes } from "./slope.ts";

const POOL: OwnedPool = {
  name: "writers",
  loadFactor: 1.25,
  maxConcurrentPerTarget: 64,
  servingTargets: 1_775,
};
const EXCHANGES = 4_000;
const TARGETS_PER_KEEPER = 3;
const LOAD_PER_TARGET = 40;

/** A keeper that has the reports of so many others. */
function createAdmission(otherOwners: number): OwnedTargets {
  const book = new OwnedTargets("keeper");
  book.setPool(POOL);
  for (let index = 0; index < otherOwners; index++) {
    book.onPoolReport(`d${index}`, createReport(0), 0);
  }
  const holder = new PermitHolder();
  for (let index = 0; index < TARGETS_PER_KEEPER; index++) {
    const request = book.takeOwnership(`target-${index}`, "writers", ["h"], 0);
    book.onCollectResponse("h", holder.respondToCollect(request), 0);
  }
  return book;
}

function createReport(
  measuredAtMs: number,
  loadRequests = LOAD_PER_TARGET,
): PoolLoadReport {
  const loadsRequests = Array.from(
    { length: TARGETS_PER_KEEPER },
    () => loadRequests,
  );
  return { pool: "writers", loadsRequests, endedPerSecond: 8.6, measuredAtMs };
}

/**
 * Processor time of one whole exchange at both ends: ask, answer and return,
 * each written as JSON, read, checked and decided.
 */
export function measureExchangeUs(otherOwners: number): number {
  const book = createAdmission(otherOwners);
  const holder = new PermitHolder();
  return measureCpuUs(EXCHANGES, () => {
    const permitId = holder.createPermitRequest("target-0", "keeper", 100);
    const extras = { returns: [], reports: [createReport(100)] };
    const askText = writeCall(
      "p",
      encodePermitRequest({ permitId: permitId, target: "target-0" }, extras),
    );
    const ask = decodePermitRequest(
      permitRequestParamsSchema.parse(readParams(askText)),
    );
    for (const report of ask.reports) book.onPoolReport("h", report, 100);
    const answer = book.handleRequest("h", ask, 100);
    if (!answer) throw new Error("the ask waits, although there is room");
    const answerText = writeCall("", encodePermitResponse(ask, answer, extras));
    const result = permitRequestResultSchema.parse(readParams(answerText));
    const decoded = decodePermitResponse(result, ask, "keeper", 1_000);
    if (decoded.response.kind === "granted") {
      holder.receiveGrant(decoded.response, 101);
    }
    holder.start(permitId, 101);
    holder.end(permitId);
    const returns = holder.drainReturns().map((entry) => entry.permitId);
    const returnText = writeCall("r", encodeReturns({ returns, reports: [] }));
    const back = decodeReturns(
      permitReturnParamsSchema.parse(readParams(returnText)),
    );
    for (const returnedId of back.returns) book.release("h", returnedId, 102);
  });
}

/** Bytes of the messages of one exchange as lines of JSON-RPC. */
export function countExchangeBytes(): Readonly<Record<string, number>> {
  const permitId = 123_456;
  const none = { returns: [], reports: [] };
  const report = { returns: [], reports: [createReport(86_400_000)] };
  const alternatives = [1774, 1773, 1772, 1771, 1770].map((it) =>
    `target-${it}`
  );
  const ask = { permitId: permitId, target: "target-1775", alternatives };
  const epoch = { number: 12, owner: "k" };
  const grant = {
    kind: "granted",
    permitId: permitId,
    target: ask.target,
    epoch,
    startWithinMs: 1_000,
  } as const;
  const plainAsk = writeCall("p", encodePermitRequest(ask, none)).length;
  const plainAnswer =
    writeResult(permitId, encodePermitResponse(ask, grant, none)).length;
  const reportAsk = writeCall("p", encodePermitRequest(ask, report)).length;
  return {
    ask: plainAsk,
    answer: plainAnswer,
    return:
      writeReturn(encodeReturns({ returns: [permitId], reports: [] })).length,
    report: reportAsk - plainAsk,
  };
}

function writeCall(method: string, params: unknown): string {
  return `${JSON.stringify({ jsonrpc: "2.0", method, params, id: 123_456 })}\n`;
}

function writeReturn(params: unknown): string {
  return `${JSON.stringify({ jsonrpc: "2.0", method: "r", params })}\n`;
}

function writeResult(id: number, result: unknown): string {
  return `${JSON.stringify({ jsonrpc: "2.0", id, result })}\n`;
}

function readParams(text: string): unknown {
  const message: { readonly params: unknown } = JSON.parse(text);
  return message.params;
}

/** Heap of one permit at its keeper and at its holder, together. */
export function measurePermitBytes(permits: number): number {
  return measureHeapBytes(permits, () => {
    const book = new OwnedTargets("keeper");
    book.setPool({
      ...POOL,
      servingTargets: 4,
      maxConcurrentPerTarget: permits,
      loadFactor: 10,
    });
    book.onPoolReport("other", createReport(0, permits), 0);
    const holder = new PermitHolder();
    const request = book.takeOwnership("target-0", "writers", ["h"], 0);
    book.onCollectResponse("h", holder.respondToCollect(request), 0);
    for (let index = 0; index < permits; index++) {
      const permitId = holder.createPermitRequest("target-0", "keeper", 0);
      const answer = book.handleRequest("h", {
        permitId: permitId,
        target: "target-0",
      }, 0);
      if (answer?.kind !== "granted") throw new Error("a permit was refused");
      holder.receiveGrant(answer, 0);
      holder.start(permitId, 0);
    }
    return { book, holder };
  });
}
