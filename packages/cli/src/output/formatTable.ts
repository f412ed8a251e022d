const COLUMN_GAP = '  ';

/** Formats rows of text under their titles, each column as wide as its longest cell. */
export const formatTable = (
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string[] => {
  const all = [titles, ...rows];
  const widths = titles.map((_title, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
};
