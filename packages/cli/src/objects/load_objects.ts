import { err, ok, type Result } from "neverthrow";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import {
  checkObjects,
  type ConfigValidationError,
  formatConfigValidationError,
  type ObjectSet,
  type SourceObject,
} from "@coltsfootford/core";
import { formatCount } from "../format_count.ts";
import { type CliError, createCliError } from "../cli_error.ts";

/**
 * Reads every `.json` file below a directory and validates the objects as one
 * set. A file contains one object or an array of objects. Names with a leading
 * dot are ignored.
 */
export function loadObjects(directory: string): Result<ObjectSet, CliError> {
  return listFiles(directory).andThen((files) => {
    const errors: ConfigValidationError[] = [];
    const sources: SourceObject[] = [];
    for (const file of files) {
      readSources(join(directory, file)).match(
        (found) => sources.push(...found),
        (error) => errors.push(error),
      );
    }
    const checked = checkObjects(sources);
    if (checked.isErr()) errors.push(...checked.error);
    if (checked.isOk() && errors.length === 0) return ok(checked.value);
    return err(createValidationError(directory, errors));
  });
}

function createValidationError(
  directory: string,
  errors: readonly ConfigValidationError[],
): CliError {
  const count = formatCount(errors.length, "error");
  const message = `${directory} has ${count}; fix the errors listed below`;
  return createCliError("invalid-objects", "objects.check", message, {
    details: errors.map(formatConfigValidationError),
  });
}

function listFiles(directory: string): Result<string[], CliError> {
  try {
    const names = readdirSync(directory, {
      recursive: true,
      encoding: "utf8",
    });
    const files = names.filter((name) =>
      name.endsWith(".json") && !/(^|[\\/])\./.test(name)
    );
    if (files.length > 0) return ok(files.sort());
    return err(createDirectoryError(directory, "contains no .json file"));
  } catch (cause) {
    return err(createDirectoryError(directory, "can't be read", cause));
  }
}

function createDirectoryError(
  directory: string,
  problem: string,
  cause?: unknown,
): CliError {
  const message =
    `the directory ${directory} ${problem}; name another, or create one with coltsfoot init`;
  return createCliError("invalid-usage", "objects.read", message, { cause });
}

function readSources(
  file: string,
): Result<SourceObject[], ConfigValidationError> {
  try {
    const raw: unknown = JSON.parse(readFileSync(file, "utf8"));
    if (!Array.isArray(raw)) return ok([{ file, path: [], value: raw }]);
    return ok(raw.map((value, index) => ({ file, path: [index], value })));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err({ file, field: "", message: `invalid JSON: ${reason}` });
  }
}
