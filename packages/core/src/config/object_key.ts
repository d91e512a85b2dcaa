import type { FleetObject, ObjectKind, ObjectSet } from "../objects/index.ts";

/** The identity of an object in a set, for example `team/saham-joinery`. */
export type ObjectKey = `${ObjectKind}/${string}`;

/** Returns the key of an object. */
export function objectKey(
  object: { readonly kind: ObjectKind; readonly name: string },
): ObjectKey {
  return `${object.kind}/${object.name}`;
}

/** Lists all objects of a set, sorted by key. */
export function listObjects(set: ObjectSet): FleetObject[] {
  const objects: FleetObject[] = [
    ...set.teams.values(),
    ...set.models.values(),
    ...set.services.values(),
    ...set.pools.values(),
    ...set.routes.values(),
  ];
  return sortByKey(objects);
}

/** Sorts objects by key, independently of the locale. */
export function sortByKey(objects: readonly FleetObject[]): FleetObject[] {
  const keyed = objects.map((object) => ({ key: objectKey(object), object }));
  keyed.sort((a, b) => (a.key < b.key ? -1 : a.key > b.key ? 1 : 0));
  return keyed.map((entry) => entry.object);
}
