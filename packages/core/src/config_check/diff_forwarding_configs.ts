import type { ForwardingConfig } from "../forwarding/index.ts";
import type { FieldPath } from "./config_finding.ts";

/** A difference of an entry or a field between two configurations. */
export interface ConfigDifference {
  readonly change: "added" | "removed" | "changed";
  /** Names entries of the lists by their names, not by their indexes. */
  readonly path: FieldPath;
  /** Undefined for entries that were added or removed as a whole, and for keys. */
  readonly before?: string;
  readonly after?: string;
}

/** The field of a team whose values are secrets. */
const SECRET_FIELD = "keys";

/** Lists the differences from `before` to `after`. */
export function diffForwardingConfigs(
  before: ForwardingConfig,
  after: ForwardingConfig,
): ConfigDifference[] {
  return [
    ...diffFields([], { version: before.version }, { version: after.version }),
    ...diffLists("routes", before.routes, after.routes),
    ...diffLists("services", before.services, after.services),
    ...diffFields(["limits"], before.limits, after.limits),
    ...diffPresence(["teams"], before.teams, after.teams),
    ...diffLists("teams", before.teams ?? [], after.teams ?? []),
  ];
}

function diffLists<Entry extends { readonly name: string }>(
  list: string,
  before: readonly Entry[],
  after: readonly Entry[],
): ConfigDifference[] {
  const previous = new Map(before.map((entry) => [entry.name, entry]));
  const current = new Map(after.map((entry) => [entry.name, entry]));
  const names = [...new Set([...previous.keys(), ...current.keys()])];
  return names.flatMap((name) => {
    const path = [list, name];
    const [old, next] = [previous.get(name), current.get(name)];
    if (old && next) return diffFields(path, old, next);
    return diffPresence(path, old, next);
  });
}

function diffPresence(
  path: FieldPath,
  before: unknown,
  after: unknown,
): ConfigDifference[] {
  if ((before === undefined) === (after === undefined)) return [];
  return [{ change: before === undefined ? "added" : "removed", path }];
}

function diffFields(
  path: FieldPath,
  before: object,
  after: object,
): ConfigDifference[] {
  const previous = new Map<string, unknown>(Object.entries(before));
  const current = new Map<string, unknown>(Object.entries(after));
  const fields = [...new Set([...previous.keys(), ...current.keys()])];
  return fields.flatMap((field) =>
    diffField([...path, field], previous.get(field), current.get(field))
  );
}

function diffField(
  path: FieldPath,
  before: unknown,
  after: unknown,
): ConfigDifference[] {
  if (isRecord(before) && isRecord(after)) {
    return diffFields(path, before, after);
  }
  const [beforeText, afterText] = [formatValue(before), formatValue(after)];
  if (beforeText === afterText) return [];
  if (path.at(-1) === SECRET_FIELD) return [{ change: "changed", path }];
  if (before === undefined) {
    return [{ change: "added", path, after: afterText }];
  }
  if (after === undefined) {
    return [{ change: "removed", path, before: beforeText }];
  }
  return [{ change: "changed", path, before: beforeText, after: afterText }];
}

function isRecord(value: unknown): value is object {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** JSON has no infinite numbers, which stand for absent limits. */
function formatValue(value: unknown): string {
  if (value === Infinity) return "unlimited";
  return JSON.stringify(value) ?? "";
}
