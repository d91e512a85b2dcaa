import type { Context } from "hono";
import type { z } from "zod";

/** A validated body, or the message of its first validation error. */
export type JsonBody<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly message: string };

/** Reads and validates a JSON body; an empty body counts as `{}`. */
export async function readJsonBody<T>(
  context: Context,
  schema: z.ZodType<T>,
): Promise<JsonBody<T>> {
  const text = await context.req.text();
  return parseJsonText(text, schema);
}

/**
 * Parses and validates JSON text; an empty text counts as `{}`. `normalize`
 * may rename fields before the validation.
 */
export function parseJsonText<T>(
  text: string,
  schema: z.ZodType<T>,
  normalize: (raw: unknown) => unknown = (raw) => raw,
): JsonBody<T> {
  let raw: unknown;
  try {
    raw = JSON.parse(text === "" ? "{}" : text);
  } catch {
    return { ok: false, message: "the body is not valid JSON" };
  }
  const parsed = schema.safeParse(normalize(raw));
  if (parsed.success) return { ok: true, value: parsed.data };
  const issue = parsed.error.issues[0];
  const field = issue?.path.join(".") || "body";
  return { ok: false, message: `${field}: ${issue?.message ?? "not valid"}` };
}
