import { readFileSync } from "node:fs";
import { createStepError, type StepError } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type Settings, settingsSchema } from "./schema.ts";

/** Validates parsed settings; the error lists every invalid field. */
export function validateSettings(
  value: unknown,
): Result<Settings, StepError<"bad-settings">> {
  const parsed = settingsSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issues = parsed.error.issues.map(formatIssue).join("; ");
  return err(createStepError("bad-settings", "settings.check", issues));
}

/** Reads and validates a settings file. */
export function loadSettings(
  path: string,
): Result<Settings, StepError<"bad-settings">> {
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(path, "utf8"));
  } catch (cause) {
    const message = `cannot read ${path} as JSON; specify a readable JSON file`;
    return err(
      createStepError("bad-settings", "settings.read", message, { cause }),
    );
  }
  return validateSettings(value);
}

function formatIssue(issue: z.core.$ZodIssue): string {
  const field = issue.path.length > 0 ? issue.path.join(".") : "(top level)";
  return `field ${field}: ${issue.message}`;
}
