/**
Tables for people, in plain text.
*/

const gap = '  ';

/** Returns the rows under their headings, each column as wide as its widest cell. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => (row[column] ?? '').length)));
	const lines = [headings, ...rows].map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(gap).trimEnd());
	return `${lines.join('\n')}\n`;
}
