import { err, ok, type Result } from "neverthrow";
import {
  CONFIG_HEAD_KEY,
  type ConfigHead,
  readConfigHead,
} from "@coltsfootford/core";
import type { CliError } from "../cli_error.ts";
import { createCliError, createPlatformError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandOutput,
  type CommandResult,
} from "../command.ts";
import type { DaemonStatus } from "../daemons/index.ts";
import { requireDaemons, withDaemons, withPlatform } from "../connections.ts";
import { formatTable } from "../table.ts";

interface QueriedDaemon {
  readonly url: string;
  readonly status: Result<DaemonStatus, CliError>;
}

/** Shows the daemons, their revisions and the state of the targets. */
export class StatusCommand extends Command {
  override readonly name = "status";
  override readonly summary =
    "show daemons, targets and which revision is in force where";
  override readonly examples = [
    { line: "coltsfoot status", text: "The daemons of the settings." },
    {
      line: "coltsfoot status --daemons http://10.0.0.5:7003 --json",
      text: "One daemon, for a program.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
    const daemons = requireDaemons(context);
    if (daemons.isErr()) return err(daemons.error);
    const head = await readHead(context);
    return await withDaemons(context, async (admin) => {
      const queried = await Promise.all(
        daemons.value.map(async (url) => ({
          url,
          status: await admin.getStatus(url),
        })),
      );
      return describe(queried, head);
    });
  }
}

/** Reads the published head; the status is shown without it in an outage. */
async function readHead(
  context: CommandContext,
): Promise<Result<ConfigHead | undefined, CliError>> {
  let head: Result<ConfigHead | undefined, CliError> = ok(undefined);
  await withPlatform(context, async (client) => {
    const entry = await client.get(CONFIG_HEAD_KEY);
    head = entry.mapErr(createPlatformError).map((value) =>
      value && readConfigHead(value.value).unwrapOr(undefined)
    );
    return ok({ lines: [], json: {} });
  });
  return head;
}

function describe(
  queried: readonly QueriedDaemon[],
  head: Result<ConfigHead | undefined, CliError>,
): Result<CommandOutput, CliError> {
  const published = head.isOk() ? head.value : undefined;
  const rows = queried.map(({ url, status }) =>
    status.match(
      (value) => [
        value.vm,
        value.availabilityZone,
        value.phase,
        describeRevision(value, published),
        String(value.runningRequests),
      ],
      () => [url, "?", "not reached", "?", "?"],
    )
  );
  const lines = [
    describePublished(head),
    ...formatTable(["VM", "ZONE", "PHASE", "REVISION", "RUNNING"], rows),
    ...describeTargets(queried),
  ];
  const json = {
    published: published ?? null,
    daemons: queried.map(({ url, status }) =>
      status.match(
        (value) => ({ url, isReachable: true, ...value }),
        () => ({ url, isReachable: false }),
      )
    ),
  };
  const unreached = queried.filter(({ status }) => status.isErr());
  if (unreached.length < queried.length) return ok({ lines, json });
  const message = "no daemon can be reached; check the addresses";
  const details = unreached.map(({ url }) => url);
  return err(
    createCliError("daemon-unreachable", "status", message, { details }),
  );
}

function describePublished(
  head: Result<ConfigHead | undefined, CliError>,
): string {
  if (head.isErr()) return "published: the platform can't be reached";
  if (!head.value) return "published: nothing yet";
  const { revision, publishedBy, publishedAtMs } = head.value;
  const at = new Date(publishedAtMs).toISOString();
  return `published: revision ${revision} by ${publishedBy} at ${at}`;
}

function describeRevision(
  status: DaemonStatus,
  published: ConfigHead | undefined,
): string {
  const { configRevision } = status;
  if (!published || configRevision === published.revision) {
    return String(configRevision);
  }
  const isBehind = configRevision < published.revision;
  return `${configRevision} (${isBehind ? "behind" : "ahead of the platform"})`;
}

/** Describes the targets as reported by the first reachable daemon. */
function describeTargets(queried: readonly QueriedDaemon[]): string[] {
  const first = queried.find(({ status }) => status.isOk());
  if (!first || first.status.isErr()) return [];
  const { vm, targets } = first.status.value;
  const rows = targets.map((target) => [
    target.name,
    target.availabilityZone,
    target.pool,
    target.state,
  ]);
  return [
    "",
    `targets as ${vm} sees them:`,
    ...formatTable(["TARGET", "ZONE", "POOL", "STATE"], rows),
  ];
}
