import {
  decodeAnswer,
  decodeAsk,
  decodeReturns,
  encodeAnswer,
  encodeAsk,
  encodeReturns,
  KeeperBook,
  type KeptPool,
  permitAskParamsSchema,
  permitAskResultSchema,
  PermitHolder,
  permitReturnParamsSchema,
  type PoolLoadReport,
} from "@coltsfootford/core";
import { measureCpuUs, measureHeapBytes } from "./slope.ts";

const POOL: KeptPool = {
  name: "writers",
  loadFactor: 1.25,
  maxConcurrentPerTarget: 64,
  servingTargets: 1_775,
};
const EXCHANGES = 4_000;
const TARGETS_PER_KEEPER = 3;
const LOAD_PER_TARGET = 40;

/** A keeper that has the reports of so many others. */
function createKeeper(otherKeepers: number): KeeperBook {
  const book = new KeeperBook("keeper");
  book.setPool(POOL);
  for (let index = 0; index < otherKeepers; index++) {
    book.notePoolReport(`d${index}`, createReport(0), 0);
  }
  const holder = new PermitHolder();
  for (let index = 0; index < TARGETS_PER_KEEPER; index++) {
    const request = book.beginKeeping(`target-${index}`, "writers", ["h"], 0);
    book.noteCollectAnswer("h", holder.answerCollect(request), 0);
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
export function measureExchangeUs(otherKeepers: number): number {
  const book = createKeeper(otherKeepers);
  const holder = new PermitHolder();
  return measureCpuUs(EXCHANGES, () => {
    const askId = holder.createAsk("target-0", "keeper", 100);
    const extras = { returns: [], reports: [createReport(100)] };
    const askText = writeCall(
      "p",
      encodeAsk({ askId, target: "target-0" }, extras),
    );
    const ask = decodeAsk(permitAskParamsSchema.parse(readParams(askText)));
    for (const report of ask.reports) book.notePoolReport("h", report, 100);
    const answer = book.answer("h", ask, 100);
    if (!answer) throw new Error("the ask waits, although there is room");
    const answerText = writeCall("", encodeAnswer(ask, answer, extras));
    const result = permitAskResultSchema.parse(readParams(answerText));
    const decoded = decodeAnswer(result, ask, "keeper", 1_000);
    if (decoded.answer.kind === "granted") {
      holder.noteGrant(decoded.answer, 101);
    }
    holder.start(askId, 101);
    holder.end(askId);
    const returns = holder.takeReturns().map((entry) => entry.askId);
    const returnText = writeCall("r", encodeReturns({ returns, reports: [] }));
    const back = decodeReturns(
      permitReturnParamsSchema.parse(readParams(returnText)),
    );
    for (const returnedId of back.returns) book.release("h", returnedId, 102);
  });
}

/** Bytes of the messages of one exchange as lines of JSON-RPC. */
export function countExchangeBytes(): Readonly<Record<string, number>> {
  const askId = 123_456;
  const none = { returns: [], reports: [] };
  const report = { returns: [], reports: [createReport(86_400_000)] };
  const alternatives = [1774, 1773, 1772, 1771, 1770].map((it) =>
    `target-${it}`
  );
  const ask = { askId, target: "target-1775", alternatives };
  const epoch = { number: 12, keeper: "k" };
  const grant = {
    kind: "granted",
    askId,
    target: ask.target,
    epoch,
    startWithinMs: 1_000,
  } as const;
  const plainAsk = writeCall("p", encodeAsk(ask, none)).length;
  const plainAnswer = writeResult(askId, encodeAnswer(ask, grant, none)).length;
  const reportAsk = writeCall("p", encodeAsk(ask, report)).length;
  return {
    ask: plainAsk,
    answer: plainAnswer,
    return:
      writeReturn(encodeReturns({ returns: [askId], reports: [] })).length,
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
    const book = new KeeperBook("keeper");
    book.setPool({
      ...POOL,
      servingTargets: 4,
      maxConcurrentPerTarget: permits,
      loadFactor: 10,
    });
    book.notePoolReport("other", createReport(0, permits), 0);
    const holder = new PermitHolder();
    const request = book.beginKeeping("target-0", "writers", ["h"], 0);
    book.noteCollectAnswer("h", holder.answerCollect(request), 0);
    for (let index = 0; index < permits; index++) {
      const askId = holder.createAsk("target-0", "keeper", 0);
      const answer = book.answer("h", { askId, target: "target-0" }, 0);
      if (answer?.kind !== "granted") throw new Error("a permit was refused");
      holder.noteGrant(answer, 0);
      holder.start(askId, 0);
    }
    return { book, holder };
  });
}
