import { z } from "zod";
import type { FleetObject, ObjectSet } from "../objects/index.ts";
import { writeCanonicalJson } from "./canonical_json.ts";
import { listObjects, type ObjectKey, objectKey } from "./object_key.ts";

/** How one object differs between two sets. */
export const objectChangeSchema = z.object({
  key: z.string(),
  change: z.enum(["added", "removed", "changed"]),
  /** Names of the fields that differ, for a changed object. */
  fields: z.array(z.string()),
});

/** How one object differs between two sets. */
export type ObjectChange = z.infer<typeof objectChangeSchema>;

/** Lists the differences from `before` to `after` in order of the keys. */
export function diffObjects(
  before: ObjectSet | undefined,
  after: ObjectSet,
): ObjectChange[] {
  return diffObjectLists(before ? listObjects(before) : [], listObjects(after));
}

/** Lists the differences between lists of objects in order of the keys. */
export function diffObjectLists(
  before: readonly FleetObject[],
  after: readonly FleetObject[],
): ObjectChange[] {
  const old = indexObjects(before);
  const fresh = indexObjects(after);
  const keys = [...new Set([...old.keys(), ...fresh.keys()])].sort();
  return keys.flatMap((key) => {
    const change = diffObject(key, old.get(key), fresh.get(key));
    return change ? [change] : [];
  });
}

/** Writes a change on one line: `~ team/x (shareWeight)`. */
export function formatObjectChange(change: ObjectChange): string {
  if (change.change === "added") return `+ ${change.key}`;
  if (change.change === "removed") return `- ${change.key}`;
  return `~ ${change.key} (${change.fields.join(", ")})`;
}

function diffObject(
  key: ObjectKey,
  old: FleetObject | undefined,
  fresh: FleetObject | undefined,
): ObjectChange | undefined {
  if (!old) return { key, change: "added", fields: [] };
  if (!fresh) return { key, change: "removed", fields: [] };
  if (old === fresh) return undefined;
  const fields = diffFields({ ...old }, { ...fresh });
  if (fields.length === 0) return undefined;
  return { key, change: "changed", fields };
}

function diffFields(
  old: Record<string, unknown>,
  fresh: Record<string, unknown>,
): string[] {
  const names = new Set([...Object.keys(old), ...Object.keys(fresh)]);
  return [...names].sort().filter((name) =>
    writeCanonicalJson(old[name]) !== writeCanonicalJson(fresh[name])
  );
}

function indexObjects(objects: readonly FleetObject[]) {
  return new Map(objects.map((object) => [objectKey(object), object]));
}
