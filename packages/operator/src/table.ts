/**
Plain-text tables for command-line output.
*/

const columnSeparator = '  ';

/** Returns the rows under their headings, with each column as wide as its widest cell. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => (row[column] ?? '').length)));
	const lines = [headings, ...rows].map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(columnSeparator).trimEnd());
	return `${lines.join('\n')}\n`;
}
