import { err, ok, type Result } from "neverthrow";
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { type CliError, createCliError } from "../cli_error.ts";

/**
 * The file next to the objects that records the publication they are based on.
 * It belongs under version control with the objects. A publication that is not
 * based on the one in force would revert another operator's change.
 */
const BASE_FILE = ".published.json";

const publicationIdSchema = z.strictObject({
  revision: z.int().positive(),
  nonce: z.string(),
});

const baseFileSchema = z.strictObject({
  /** The publication that the objects are based on. */
  base: publicationIdSchema.optional(),
  /** A publication that was started and whose outcome is unknown. */
  pending: publicationIdSchema.optional(),
});

/** Identifies a publication. */
export type PublicationId = z.infer<typeof publicationIdSchema>;
/** The contents of the base file. */
export type BaseFile = z.infer<typeof baseFileSchema>;

/** Reads the base file of a directory; returns `{}` if it does not exist. */
export function readBaseFile(directory: string): Result<BaseFile, CliError> {
  const file = join(directory, BASE_FILE);
  if (!existsSync(file)) return ok({});
  try {
    return ok(baseFileSchema.parse(JSON.parse(readFileSync(file, "utf8"))));
  } catch (cause) {
    const message = `${file} is corrupt; restore it, or remove it and set ` +
      "--base to the revision that the objects are based on";
    return err(
      createCliError("invalid-usage", "base-file.read", message, { cause }),
    );
  }
}

/** Atomically replaces the base file of a directory. */
export function writeBaseFile(
  directory: string,
  contents: BaseFile,
): Result<void, CliError> {
  const file = join(directory, BASE_FILE);
  try {
    writeFileSync(`${file}.new`, `${JSON.stringify(contents, null, 2)}\n`);
    renameSync(`${file}.new`, file);
    return ok(undefined);
  } catch (cause) {
    const message = `${file} can't be written; make the directory writable`;
    return err(
      createCliError("invalid-usage", "base-file.write", message, { cause }),
    );
  }
}
