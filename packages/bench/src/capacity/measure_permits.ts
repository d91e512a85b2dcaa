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
const TARGETS_PER_OWNER = 3;
const LOAD_REQUESTS_PER_TARGET = 40;

/** Creates an owner of targets that has a load report of each other owner. */
function createOwner(otherOwners: number): OwnedTargets {
  const owner = new OwnedTargets("owner1");
  owner.setPool(POOL);
  for (let index = 0; index < otherOwners; index++) {
    owner.onPoolReport(`d${index}`, createReport(0), 0);
  }
  const holder = new PermitHolder();
  for (let index = 0; index < TARGETS_PER_OWNER; index++) {
    const request = owner.takeOwnership(`target-${index}`, "writers", ["h"], 0);
    owner.onCollectResponse("h", holder.respondToCollect(request), 0);
  }
  return owner;
}

function createReport(
  measuredAtMs: number,
  loadRequests = LOAD_REQUESTS_PER_TARGET,
): PoolLoadReport {
  const loadsRequests = Array.from(
    { length: TARGETS_PER_OWNER },
    () => loadRequests,
  );
  return { pool: "writers", loadsRequests, endedPerSecond: 8.6, measuredAtMs };
}

/**
 * Measures the processor time of one complete exchange at both ends, in
 * microseconds: permit request, response and return, each serialized as JSON,
 * parsed, validated and processed.
 */
export function measureExchangeUs(otherOwners: number): number {
  const owner = createOwner(otherOwners);
  const holder = new PermitHolder();
  return measureCpuUs(EXCHANGES, () => {
    const permitId = holder.createPermitRequest("target-0", "owner1", 100);
    const extras = { returns: [], reports: [createReport(100)] };
    const requestText = writeCall(
      "p",
      encodePermitRequest({ permitId, target: "target-0" }, extras),
    );
    const request = decodePermitRequest(
      permitRequestParamsSchema.parse(readParams(requestText)),
    );
    for (const report of request.reports) owner.onPoolReport("h", report, 100);
    const response = owner.handleRequest("h", request, 100);
    if (!response) throw new Error("queued although the target has capacity");
    const responseText = writeCall(
      "",
      encodePermitResponse(request, response, extras),
    );
    const result = permitRequestResultSchema.parse(readParams(responseText));
    const decoded = decodePermitResponse(result, request, "owner1", 1_000);
    if (decoded.response.kind === "granted") {
      holder.receiveGrant(decoded.response, 101);
    }
    holder.start(permitId, 101);
    holder.end(permitId);
    const returns = holder.drainReturns().map((entry) => entry.permitId);
    const returnText = writeCall("r", encodeReturns({ returns, reports: [] }));
    const decodedReturns = decodeReturns(
      permitReturnParamsSchema.parse(readParams(returnText)),
    );
    for (const id of decodedReturns.returns) owner.release("h", id, 102);
  });
}

/** Sizes of the messages of one exchange as lines of JSON-RPC, in bytes. */
export function countExchangeBytes(): Readonly<Record<string, number>> {
  const permitId = 123_456;
  const noExtras = { returns: [], reports: [] };
  const reportExtras = { returns: [], reports: [createReport(86_400_000)] };
  const alternatives = [1774, 1773, 1772, 1771, 1770].map((it) =>
    `target-${it}`
  );
  const request = { permitId, target: "target-1775", alternatives };
  const epoch = { number: 12, owner: "k" };
  const grant = {
    kind: "granted",
    permitId,
    target: request.target,
    epoch,
    startWithinMs: 1_000,
  } as const;
  const requestBytes =
    writeCall("p", encodePermitRequest(request, noExtras)).length;
  const responseBytes =
    writeResult(permitId, encodePermitResponse(request, grant, noExtras))
      .length;
  const requestWithReportBytes =
    writeCall("p", encodePermitRequest(request, reportExtras)).length;
  return {
    ask: requestBytes,
    answer: responseBytes,
    return:
      writeReturn(encodeReturns({ returns: [permitId], reports: [] })).length,
    report: requestWithReportBytes - requestBytes,
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

/** Measures the heap of one permit at its owner and its holder, in bytes. */
export function measurePermitBytes(permits: number): number {
  return measureHeapBytes(permits, () => {
    const owner = new OwnedTargets("owner1");
    owner.setPool({
      ...POOL,
      servingTargets: 4,
      maxConcurrentPerTarget: permits,
      loadFactor: 10,
    });
    owner.onPoolReport("other", createReport(0, permits), 0);
    const holder = new PermitHolder();
    const request = owner.takeOwnership("target-0", "writers", ["h"], 0);
    owner.onCollectResponse("h", holder.respondToCollect(request), 0);
    for (let index = 0; index < permits; index++) {
      const permitId = holder.createPermitRequest("target-0", "owner1", 0);
      const response = owner.handleRequest("h", {
        permitId,
        target: "target-0",
      }, 0);
      if (response?.kind !== "granted") throw new Error("permit rejected");
      holder.receiveGrant(response, 0);
      holder.start(permitId, 0);
    }
    return { owner, holder };
  });
}
