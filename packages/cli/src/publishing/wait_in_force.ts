import type { PublicationMetadata, TimerService } from "@coltsfootford/core";
import type { AdminClient, DaemonStatus } from "../daemons/index.ts";

const POLL_INTERVAL_MS = 250;

/** A daemon that does not have a publication in force. */
export interface OutdatedDaemon {
  readonly url: string;
  /** Revision in force; undefined if the daemon can't be reached. */
  readonly revision: number | undefined;
}

/** The wait for a publication and the daemons that do not have it in force. */
export interface InForceReport {
  readonly elapsedMs: number;
  readonly outdated: readonly OutdatedDaemon[];
}

/**
 * Polls the daemons until all have a publication in force or `limitMs` has
 * elapsed.
 */
export async function waitInForce(
  admin: AdminClient,
  urls: readonly string[],
  metadata: PublicationMetadata,
  timer: TimerService,
  limitMs: number,
): Promise<InForceReport> {
  const startedAtMs = timer.nowMs();
  let pendingUrls = [...urls];
  for (;;) {
    const results = await Promise.all(
      pendingUrls.map((url) => findOutdated(admin, url, metadata)),
    );
    const outdated = results.filter((item) => item !== undefined);
    const elapsedMs = timer.nowMs() - startedAtMs;
    if (outdated.length === 0 || elapsedMs >= limitMs) {
      return { elapsedMs, outdated };
    }
    pendingUrls = outdated.map((item) => item.url);
    await new Promise<void>((resolve) =>
      timer.after(POLL_INTERVAL_MS, resolve)
    );
  }
}

async function findOutdated(
  admin: AdminClient,
  url: string,
  metadata: PublicationMetadata,
): Promise<OutdatedDaemon | undefined> {
  const status = await admin.getStatus(url);
  if (status.isErr()) return { url, revision: undefined };
  if (isInForce(status.value, metadata)) return undefined;
  return { url, revision: status.value.configRevision };
}

/** A publication also counts as in force if a later one is in force. */
function isInForce(
  status: DaemonStatus,
  metadata: PublicationMetadata,
): boolean {
  if (status.configRevision > metadata.revision) return true;
  return status.configRevision === metadata.revision &&
    status.configNonce === metadata.nonce;
}
