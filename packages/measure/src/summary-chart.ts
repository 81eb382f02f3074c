/**
Bar chart of the 95th percentile of the time to the first token, by prompt length and policy, on a logarithmic axis.
*/
import type {RunSummary} from './summary.js';

const width = 760;
const labelWidth = 150;
const rowHeight = 20;
const groupGap = 12;
const margin = 12;
const axisMinimumMs = 10;
const axisMaximumMs = 1_000_000;
const colours = ['#9e9e9e', '#5c7fa8', '#2e7d32'] as const;

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function getBarWidth(valueMs: number): number {
	const axisFraction = Math.log(Math.max(axisMinimumMs, valueMs) / axisMinimumMs) / Math.log(axisMaximumMs / axisMinimumMs);
	// The 70 pixels leave room for the value to the right of the bar.
	return Math.max(1, axisFraction * (width - labelWidth - (margin * 2) - 70));
}

/** Formats the chart as SVG. Bars show the mean over the seeds. */
export function formatFirstTokenChart(summaries: readonly RunSummary[]): string {
	const policies = [...new Set(summaries.map(summary => summary.policy))];
	const bucketNames = summaries[0]?.buckets.filter(bucket => bucket.completed > 0).map(bucket => bucket.bucket) ?? [];
	const lines: string[] = [];
	let y = margin + rowHeight;
	for (const bucket of bucketNames) {
		for (const [index, policy] of policies.entries()) {
			const policySummaries = summaries.filter(summary => summary.policy === policy);
			const values = policySummaries.flatMap(summary => summary.buckets.filter(item => item.bucket === bucket).map(item => item.firstTokenMs.p95));
			const mean = getMean(values);
			const barWidth = getBarWidth(mean);
			lines.push(
				`<text x="${margin}" y="${y + 13}">${index === 0 ? bucket : ''}</text>`,
				`<rect x="${margin + labelWidth}" y="${y + 2}" width="${barWidth.toFixed(1)}" height="${rowHeight - 5}" fill="${colours[index % colours.length] ?? '#000'}"/>`,
				`<text x="${(margin + labelWidth + barWidth + 5).toFixed(1)}" y="${y + 13}">${mean.toFixed(0)} ms</text>`,
			);
			y += rowHeight;
		}

		y += groupGap;
	}

	const legend = policies.map((policy, index) => `<tspan fill="${colours[index % colours.length] ?? '#000'}">■</tspan> ${policy}`).join('  ');
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${y + margin}" font-family="sans-serif" font-size="12">`,
		`<text x="${margin}" y="${margin + 6}">Time to first token, 95th percentile, logarithmic: ${legend}</text>`,
		...lines,
		'</svg>',
		'',
	].join('\n');
}
