import { err, ok } from "neverthrow";
import {
  parseJson,
  type QuarantineNotice,
  quarantineNoticeSchema,
} from "@coltsfootford/core";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import { createPlatformError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { QUARANTINE_PREFIX } from "../quarantine_keys.ts";
import { formatTable } from "../table.ts";
import { withPlatform } from "../connections.ts";

const HEADER = ["DIGEST", "CRASHES", "ZONE", "SINCE"];

/** Lists requests that are rejected because they crashed targets. */
export class QuarantineListCommand extends Command {
  override readonly name = "quarantine list";
  override readonly summary = "list requests refused for crashing targets";
  override readonly examples = [
    { line: "coltsfoot quarantine list", text: "All quarantined requests." },
  ];

  override async run(context: CommandContext): CommandResult {
    return await withPlatform(context, async (client) => {
      const result = await client.range({ prefix: QUARANTINE_PREFIX });
      if (result.isErr()) return err(createPlatformError(result.error));
      const requests = result.value.entries.map(readEntry);
      const lines = requests.length > 0
        ? formatTable(HEADER, requests.map(describeRequest))
        : ["no request is quarantined"];
      return ok({ lines, json: { requests } });
    });
  }
}

/** A quarantined request; the notice is null if it is invalid. */
interface QuarantinedRequest {
  readonly digest: string;
  readonly notice: QuarantineNotice | null;
}

function readEntry({ key, value }: KeyValueEntry): QuarantinedRequest {
  const parsed = quarantineNoticeSchema.safeParse(parseJson(value));
  return {
    digest: key.slice(QUARANTINE_PREFIX.length),
    notice: parsed.data ?? null,
  };
}

function describeRequest({ digest, notice }: QuarantinedRequest): string[] {
  if (!notice) return [digest, "?", "?", "?"];
  return [
    digest,
    String(notice.crashes),
    notice.availabilityZone,
    new Date(notice.quarantinedAtMs).toISOString(),
  ];
}
