import { z } from "zod";
import type { FleetObject, ObjectSet } from "../objects/index.ts";
import { writeCanonicalJson } from "./canonical_json.ts";
import { listObjects, type ObjectKey, objectKey } from "./object_key.ts";

/** Schema of the difference of one object between two sets. */
export const objectChangeSchema = z.object({
  key: z.string(),
  change: z.enum(["added", "removed", "changed"]),
  /** Names of the fields that differ in a changed object. */
  fields: z.array(z.string()),
});

/** The difference of one object between two sets. */
export type ObjectChange = z.infer<typeof objectChangeSchema>;

/** Lists the differences from `before` to `after`, sorted by key. */
export function diffObjects(
  before: ObjectSet | undefined,
  after: ObjectSet,
): ObjectChange[] {
  return diffObjectLists(before ? listObjects(before) : [], listObjects(after));
}

/** Lists the differences between two lists of objects, sorted by key. */
export function diffObjectLists(
  before: readonly FleetObject[],
  after: readonly FleetObject[],
): ObjectChange[] {
  const previous = indexObjects(before);
  const current = indexObjects(after);
  const keys = [...new Set([...previous.keys(), ...current.keys()])].sort();
  return keys.flatMap((key) => {
    const change = diffObject(key, previous.get(key), current.get(key));
    return change ? [change] : [];
  });
}

/** Formats a change on one line, for example `~ team/x (shareWeight)`. */
export function formatObjectChange(change: ObjectChange): string {
  if (change.change === "added") return `+ ${change.key}`;
  if (change.change === "removed") return `- ${change.key}`;
  return `~ ${change.key} (${change.fields.join(", ")})`;
}

function diffObject(
  key: ObjectKey,
  previous: FleetObject | undefined,
  current: FleetObject | undefined,
): ObjectChange | undefined {
  if (!previous) return { key, change: "added", fields: [] };
  if (!current) return { key, change: "removed", fields: [] };
  if (previous === current) return undefined;
  const fields = diffFields({ ...previous }, { ...current });
  if (fields.length === 0) return undefined;
  return { key, change: "changed", fields };
}

function diffFields(
  previous: Record<string, unknown>,
  current: Record<string, unknown>,
): string[] {
  const names = new Set([...Object.keys(previous), ...Object.keys(current)]);
  return [...names].sort().filter((name) =>
    writeCanonicalJson(previous[name]) !== writeCanonicalJson(current[name])
  );
}

function indexObjects(objects: readonly FleetObject[]) {
  return new Map(objects.map((object) => [objectKey(object), object]));
}
