import { err, ok, type Result } from "neverthrow";
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { type CliError, createCliError } from "../cli_error.ts";

/**
 * The file beside the objects that says on which publication they are based.
 * It belongs under version control with them: a publication that is not based
 * on the one in force would undo another operator's change.
 */
const BASE_FILE = ".published.json";

const publicationMarkSchema = z.strictObject({
  revision: z.int().positive(),
  nonce: z.string(),
});

const baseFileSchema = z.strictObject({
  /** The publication that the objects are based on. */
  base: publicationMarkSchema.optional(),
  /** A publication that was begun and whose outcome was not known yet. */
  pending: publicationMarkSchema.optional(),
});

/** Marks one publication. */
export type PublicationMark = z.infer<typeof publicationMarkSchema>;
/** What the base file says. */
export type BaseFile = z.infer<typeof baseFileSchema>;

/** Reads the base file of a directory; empty where there is none. */
export function readBaseFile(directory: string): Result<BaseFile, CliError> {
  const file = join(directory, BASE_FILE);
  if (!existsSync(file)) return ok({});
  try {
    return ok(baseFileSchema.parse(JSON.parse(readFileSync(file, "utf8"))));
  } catch (cause) {
    const message = `${file} is damaged; restore it, or remove it and give ` +
      "--base with the revision that the objects are based on";
    return err(
      createCliError("invalid-usage", "base-file.read", message, { cause }),
    );
  }
}

/** Replaces the base file of a directory as a whole. */
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
