/**
Formats run summaries as Markdown tables, one section per policy.
*/
import type {Percentiles, RunSummary} from './summary.js';

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function formatPercentiles(percentiles: readonly Percentiles[], fractionDigits: number): string {
	return [percentiles.map(item => item.p50), percentiles.map(item => item.p95), percentiles.map(item => item.p99)]
		.map(values => getMean(values).toFixed(fractionDigits)).join(' / ');
}

function formatShare(values: readonly number[]): string {
	return `${(getMean(values) * 100).toFixed(1)} %`;
}

function formatBuckets(summaries: readonly RunSummary[]): readonly string[] {
	const bucketNames = summaries[0]?.buckets.map(bucket => bucket.bucket) ?? [];
	return bucketNames.map(name => {
		const bucketSummaries = summaries.flatMap(summary => summary.buckets.filter(bucket => bucket.bucket === name));
		const prompts = bucketSummaries.reduce((sum, bucket) => sum + bucket.prompts, 0);
		const completed = bucketSummaries.reduce((sum, bucket) => sum + bucket.completed, 0);
		const deadlineExceeded = bucketSummaries.reduce((sum, bucket) => sum + bucket.deadlineExceeded, 0);
		const firstToken = formatPercentiles(bucketSummaries.map(bucket => bucket.firstTokenMs), 0);
		const gap = formatPercentiles(bucketSummaries.map(bucket => bucket.gapMs), 0);
		return `| ${name} | ${prompts} | ${completed} | ${deadlineExceeded} | ${firstToken} | ${gap} |`;
	});
}

function formatPolicy(policy: string, summaries: readonly RunSummary[]): string {
	const othersFirstToken = formatPercentiles(summaries.map(summary => summary.othersFirstTokenMs), 0);
	const othersGoodput = formatShare(summaries.map(summary => summary.othersGoodput));
	return [
		`### ${policy}, load ${summaries[0]?.load ?? 0}, seeds ${summaries.map(summary => summary.seed).join(', ')}`,
		'',
		'| prompt tokens | prompts | whole in time | late | first token ms p50 / p95 / p99 | between tokens ms p50 / p95 / p99 |',
		'|---|---|---|---|---|---|',
		...formatBuckets(summaries),
		'',
		`- slowdown of short prompts, whole answer, p50 / p95 / p99: ${formatPercentiles(summaries.map(summary => summary.shortSlowdown), 2)}`,
		`- slowdown of short prompts, first token, p50 / p95 / p99: ${formatPercentiles(summaries.map(summary => summary.shortFirstTokenSlowdown), 2)}`,
		`- goodput ${formatShare(summaries.map(summary => summary.goodput))}, of short prompts ${formatShare(summaries.map(summary => summary.shortGoodput))}`,
		`- short prompts of all organisations but the first: first token ms p50 / p95 / p99 ${othersFirstToken}, goodput ${othersGoodput}`,
		`- refused ${getMean(summaries.map(summary => summary.refused)).toFixed(1)}, unanswered ${getMean(summaries.map(summary => summary.unanswered)).toFixed(1)} a run`,
		`- attempts over admitted prompts ${getMean(summaries.map(summary => summary.amplification)).toFixed(3)}`,
		`- prompt tokens from the prefix cache ${formatShare(summaries.map(summary => summary.cacheHitShare))}`,
		'',
		'',
	].join('\n');
}

/** Formats a section for each policy. In the tables, prompt counts are sums over the seeds; all other values are means. */
export function formatSummaries(summaries: readonly RunSummary[]): string {
	const policyNames = [...new Set(summaries.map(summary => summary.policy))];
	return policyNames.map(name => formatPolicy(name, summaries.filter(summary => summary.policy === name))).join('');
}
