import type { DaemonView, TargetView } from "../blackboard/index.ts";
import type { Logger } from "../log/index.ts";
import type { PeerEvent } from "../peers/index.ts";

/** The views whose changes are logged. */
export interface LoggedViews {
  readonly daemons: ReadonlyMap<string, DaemonView>;
  readonly targets: ReadonlyMap<string, TargetView>;
}

/** Logs each daemon, target and zone whose state has changed. */
export function logViewChanges(
  logger: Logger,
  before: LoggedViews,
  after: LoggedViews,
): void {
  for (const { vm, state } of after.daemons.values()) {
    const from = before.daemons.get(vm)?.state;
    if (from !== state) {
      logger.event("memberChanged", { peer: vm, from, state });
    }
  }
  for (const { name, state } of after.targets.values()) {
    const from = before.targets.get(name)?.state;
    if (from === undefined || from === state) continue;
    logger.event("targetChanged", { target: name, from, state });
  }
}

/** Logs the zones that became unreachable or reachable again. */
export function logZoneChanges(
  logger: Logger,
  before: readonly string[],
  after: readonly string[],
): void {
  for (const zone of after) {
    if (!before.includes(zone)) logger.event("zoneCut", { zone });
  }
  for (const zone of before) {
    if (!after.includes(zone)) logger.event("zoneHealed", { zone });
  }
}

/** Logs the events of peer connections that are relevant to an operator. */
export function logPeerEvent(logger: Logger, event: PeerEvent): void {
  const { kind, direction, peer, detail } = event;
  const fields = { kind, direction, peer, detail };
  if (kind === "authentication-failed") logger.event("peerRefused", fields);
  if (kind === "malformed-line" || kind === "oversized-line") {
    logger.event("peerMalformed", fields);
  }
  if (kind === "handler-failed") logger.event("peerHandlerFailed", fields);
}
