import type { PublicationMetadata, TimerService } from "@coltsfootford/core";
import type { AdminClient, DaemonStatus } from "../daemons/index.ts";

const POLL_MS = 250;

/** A daemon that does not have a publication in force. */
export interface DaemonBehind {
  readonly url: string;
  /** The revision it has; undefined where it can't be reached. */
  readonly revision: number | undefined;
}

/** How long a publication took to be in force, and where it is not. */
export interface InForceReport {
  readonly elapsedMs: number;
  readonly behind: readonly DaemonBehind[];
}

/** Asks the daemons until all have a publication in force, or time is up. */
export async function waitInForce(
  admin: AdminClient,
  urls: readonly string[],
  facts: PublicationMetadata,
  timer: TimerService,
  limitMs: number,
): Promise<InForceReport> {
  const startMs = timer.nowMs();
  let waiting = [...urls];
  for (;;) {
    const asked = await Promise.all(
      waiting.map((url) => findBehind(admin, url, facts)),
    );
    const behind = asked.filter((item) => item !== undefined);
    const elapsedMs = timer.nowMs() - startMs;
    if (behind.length === 0 || elapsedMs >= limitMs) {
      return { elapsedMs, behind };
    }
    waiting = behind.map((item) => item.url);
    await new Promise<void>((resolve) => timer.after(POLL_MS, resolve));
  }
}

async function findBehind(
  admin: AdminClient,
  url: string,
  facts: PublicationMetadata,
): Promise<DaemonBehind | undefined> {
  const status = await admin.getStatus(url);
  if (status.isErr()) return { url, revision: undefined };
  if (isInForce(status.value, facts)) return undefined;
  return { url, revision: status.value.configRevision };
}

/** A later publication has this one behind it. */
function isInForce(status: DaemonStatus, facts: PublicationMetadata): boolean {
  if (status.configRevision > facts.revision) return true;
  return status.configRevision === facts.revision &&
    status.configNonce === facts.nonce;
}
