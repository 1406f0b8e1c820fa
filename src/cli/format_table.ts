/** A table row: cell values by column name. */
export type TableRow = Readonly<Record<string, unknown>>;

/**
 * Formats rows as a text table with aligned columns and a header line.
 * @param rows - Rows of the table.
 * @param columns - Names of the columns to show, in order.
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
