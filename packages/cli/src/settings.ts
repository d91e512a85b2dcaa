import { err, ok, type Result } from "neverthrow";
import { existsSync, readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { z } from "zod";
import { type CliError, createCliError } from "./cli_error.ts";

/** The settings file if `--settings` is absent. */
export const DEFAULT_SETTINGS_FILE = "coltsfoot.json";

const urlSchema = z.url({ protocol: /^https?$/ })
  .transform((url) => url.replace(/\/+$/, ""));

/** The schema of the settings file. */
export const cliSettingsSchema = z.strictObject({
  /** Base URLs of the key-value service. */
  platform: z.array(urlSchema).default([]),
  /** Base URLs of the daemons' admin ports. */
  daemons: z.array(urlSchema).default([]),
  /** The directory with the object files. */
  objects: z.string().min(1).default("objects"),
  /** Operator name that publications record. */
  operator: z.string().min(1).max(128).default(() => readUserName()),
});

/** The validated settings of the tool. */
export type CliSettings = z.infer<typeof cliSettingsSchema>;

/** Values of the common options of the command line. */
export interface CommonValues {
  readonly settings?: string | undefined;
  readonly platform?: string | undefined;
  readonly daemons?: string | undefined;
}

/** Reads the settings file; command line options override its fields. */
export function loadCliSettings(
  values: CommonValues,
): Result<CliSettings, CliError> {
  const file = values.settings ?? DEFAULT_SETTINGS_FILE;
  const isRequired = values.settings !== undefined;
  return readSettingsFile(file, isRequired).andThen((raw) => {
    const merged = {
      ...raw,
      ...(values.platform ? { platform: splitList(values.platform) } : {}),
      ...(values.daemons ? { daemons: splitList(values.daemons) } : {}),
    };
    const parsed = cliSettingsSchema.safeParse(merged);
    if (parsed.success) return ok(parsed.data);
    const details = parsed.error.issues.map((issue) =>
      `${file}: ${issue.path.join(".")}: ${issue.message}`
    );
    const message = "the settings are invalid; fix the fields listed below";
    return err(
      createCliError("invalid-usage", "settings.check", message, { details }),
    );
  });
}

function readSettingsFile(
  file: string,
  isRequired: boolean,
): Result<Record<string, unknown>, CliError> {
  if (!isRequired && !existsSync(file)) return ok({});
  try {
    const raw: unknown = JSON.parse(readFileSync(file, "utf8"));
    return ok(z.record(z.string(), z.unknown()).parse(raw));
  } catch (cause) {
    const message = `${file} is not a readable JSON object; fix or remove it`;
    return err(
      createCliError("invalid-usage", "settings.read", message, { cause }),
    );
  }
}

function splitList(text: string): string[] {
  return text.split(",").map((item) => item.trim()).filter((item) =>
    item !== ""
  );
}

function readUserName(): string {
  try {
    return userInfo().username;
  } catch {
    return "unknown";
  }
}
