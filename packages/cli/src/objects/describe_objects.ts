import { z } from "zod";
import { schemaByKind } from "@coltsfootford/core";

/** The JSON Schema keywords that the reference page shows. */
const fieldSchema = z.looseObject({
  type: z.string().optional(),
  description: z.string().optional(),
  default: z.unknown().optional(),
  enum: z.array(z.string()).optional(),
  minimum: z.number().optional(),
  exclusiveMinimum: z.number().optional(),
  maximum: z.number().optional(),
  minLength: z.number().optional(),
  maxLength: z.number().optional(),
  items: z.looseObject({ type: z.string().optional() }).optional(),
});

const kindSchema = z.looseObject({
  properties: z.record(z.string(), fieldSchema),
  required: z.array(z.string()),
});

type Field = z.infer<typeof fieldSchema>;

const INTRODUCTIONS: Readonly<Record<string, string>> = {
  team: "A customer of the fleet, with its share of the capacity.",
  model: "A model that engines serve.",
  service: "A plain application beside the engines.",
  pool:
    "A set of interchangeable targets and the rules of their load. It names either a model or a service. The targets come from the platform's VM list.",
  route:
    "How callers reach a pool, and how their requests are treated. One chat route leads to each model.",
};

const HEAD = `---
title: Objects
description: Every field of teams, models, services, pools and routes, made from their schemas by scripts/write-object-reference.mjs.
---

A file holds one object or an array of them. Objects refer to one another by
name; \`coltsfoot check\` checks the whole set at once. \`coltsfoot schema\` prints
the JSON Schema for editors. A field that is not listed here is refused.
`;

/** Generates the reference page of the objects in formatted Markdown. */
export function describeObjects(): string {
  const sections = Object.entries(schemaByKind).map(([kind, schema]) => {
    const json = kindSchema.parse(z.toJSONSchema(schema, { io: "input" }));
    return describeKind(kind, json);
  });
  return `${HEAD}\n${sections.join("\n")}`;
}

function describeKind(kind: string, schema: z.infer<typeof kindSchema>) {
  const rows = Object.entries(schema.properties)
    .filter(([name]) => name !== "kind")
    .map(([name, field]) => [
      `\`${name}\``,
      describeType(field),
      describeDefault(field, schema.required.includes(name)),
      field.description ?? "",
    ]);
  return [
    `## ${kind}`,
    "",
    INTRODUCTIONS[kind] ?? "",
    "",
    ...formatMarkdownTable(["Field", "Type", "Default", "Meaning"], rows),
    "",
  ].join("\n");
}

function describeType(field: Field): string {
  if (field.enum) return field.enum.map((value) => `\`${value}\``).join(" or ");
  if (field.type === "array") return `list of ${field.items?.type ?? "values"}`;
  const bounds = describeBounds(field);
  const type = field.type ?? "any";
  return bounds === "" ? type : `${type}, ${bounds}`;
}

function describeBounds(field: Field): string {
  const bounds: string[] = [];
  if (field.minimum !== undefined) bounds.push(`from ${field.minimum}`);
  if (field.exclusiveMinimum !== undefined) {
    bounds.push(`above ${field.exclusiveMinimum}`);
  }
  if (field.maximum !== undefined) bounds.push(`to ${field.maximum}`);
  if (field.maxLength !== undefined) {
    bounds.push(`up to ${field.maxLength} characters`);
  }
  return bounds.join(" ");
}

function describeDefault(field: Field, isRequired: boolean): string {
  if (isRequired) return "required";
  if (field.default === undefined) return "none";
  return `\`${JSON.stringify(field.default)}\``;
}

function formatMarkdownTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0))
  );
  const format = (cells: readonly string[]) =>
    `| ${
      cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")
    } |`;
  const rule = widths.map((width) => "-".repeat(width));
  return [format(header), format(rule), ...rows.map(format)];
}
