/** A row of a table for people. */
export type TableRow = Readonly<Record<string, unknown>>;

/**
 * Formats rows as aligned columns, named in the first line.
 * @param rows - The rows.
 * @param columns - Members to show, in order.
 */
export function formatTable(
  rows: readonly TableRow[],
  columns: readonly string[],
): string {
  const cells = [
    columns.map(column => column.toUpperCase()),
    ...rows.map(row => columns.map(column => formatCell(row[column]))),
  ];
  const widths = columns.map((_column, index) =>
    Math.max(...cells.map(line => (line[index] ?? '').length)),
  );
  return cells
    .map(line =>
      line
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function formatCell(value: unknown): string {
  if (value === null || value === undefined || value === '') {
    return '-';
  }
  if (Array.isArray(value)) {
    return value.length === 0 ? '-' : value.join(',');
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
