/** Formats rows as padded columns, separated by two spaces. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const all = [header, ...rows];
  const widths = header.map((_title, column) =>
    Math.max(...all.map((row) => row[column]?.length ?? 0))
  );
  return all.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
}
