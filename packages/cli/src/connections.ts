import { err, ok, type Result } from "neverthrow";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { type CliError, createCliError } from "./cli_error.ts";
import type { CommandContext, CommandResult } from "./command.ts";
import { AdminClient } from "./daemons/index.ts";

/** Runs an action with the platform's client and closes it afterwards. */
export async function withPlatform(
  context: CommandContext,
  action: (client: KeyValueClient) => CommandResult,
): CommandResult {
  const client = context.openPlatform();
  if (client.isErr()) return err(client.error);
  try {
    return await action(client.value);
  } finally {
    await client.value.close();
  }
}

/** Runs an action with the daemons' client and closes it afterwards. */
export async function withDaemons(
  context: CommandContext,
  action: (admin: AdminClient) => CommandResult,
): CommandResult {
  const admin = new AdminClient(context.timer);
  try {
    return await action(admin);
  } finally {
    await admin.close();
  }
}

/** The daemons of the settings; a failure where none is named. */
export function requireDaemons(
  context: CommandContext,
): Result<readonly string[], CliError> {
  const { daemons } = context.settings;
  if (daemons.length > 0) return ok(daemons);
  const message = "no daemon is named; give --daemons or the settings file";
  return err(createCliError("invalid-usage", "settings.daemons", message));
}
