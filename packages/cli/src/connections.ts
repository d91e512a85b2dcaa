import { err, ok, type Result } from "neverthrow";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { type CliError, createCliError } from "./cli_error.ts";
import type { CommandContext, CommandResult } from "./command.ts";
import { AdminClient } from "./daemons/index.ts";

/** Executes an action with a platform client, then closes the client. */
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

/** Executes an action with an admin client, then closes the client. */
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

/** Returns the configured daemons, or an error if there are none. */
export function requireDaemons(
  context: CommandContext,
): Result<readonly string[], CliError> {
  const { daemons } = context.settings;
  if (daemons.length > 0) return ok(daemons);
  const message =
    "no daemon is configured; set --daemons or use a settings file";
  return err(createCliError("invalid-usage", "settings.daemons", message));
}
