/**
Renders the burn report as an SVG bar chart with one bar for each route and window.
*/
import type {BurnLine} from '@currantcross/core/burn';

const rowHeight = 22;
const labelWidth = 220;
const barWidth = 360;
const valueWidth = 90;
const margin = 10;

/** Burn rate at which a bar reaches its full width. */
const fullBarBurnRate = 10;
const minuteMs = 60_000;

function formatXmlText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

function getBarColour(burnRate: number): string {
	if (burnRate > 1) {
		return '#b3261e';
	}

	return burnRate > 0.5 ? '#b07d00' : '#2e7d32';
}

function formatRow(line: BurnLine, index: number): string {
	const y = margin + (index * rowHeight);
	const width = Math.max(1, Math.min(1, line.burnRate / fullBarBurnRate) * barWidth);
	const label = `${formatXmlText(line.route)}, ${line.windowMs / minuteMs} min`;
	return [
		`<text x="${margin}" y="${y + 14}">${label}</text>`,
		`<rect x="${margin + labelWidth}" y="${y + 3}" width="${width.toFixed(1)}" height="${rowHeight - 8}" fill="${getBarColour(line.burnRate)}"/>`,
		`<text x="${margin + labelWidth + barWidth + margin}" y="${y + 14}">${line.burnRate.toFixed(2)}</text>`,
	].join('\n');
}

/** Returns the report as SVG. Bars do not grow beyond a burn rate of 10; the number beside each bar is the actual rate. */
export function formatBurnChart(lines: readonly BurnLine[]): string {
	const width = (margin * 3) + labelWidth + barWidth + valueWidth;
	const height = (margin * 2) + (lines.length * rowHeight);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
		...lines.map((line, index) => formatRow(line, index)),
		'</svg>',
		'',
	].join('\n');
}
