/**
Figures of a run: times by length, slowdown of short prompts, goodput and retries.
*/
import {build, type Histogram} from 'hdr-histogram-js';
import type {PromptOutcome, RunResult} from './virtual-run.js';
import {greedyOrganisation} from './workload.js';

export type LengthBucketName = 'under 4k' | '4k to 32k' | '32k to 100k' | '100k to 390k' | 'above one engine';

/** Percentiles of a set of values. */
export type Percentiles = Readonly<{count: number; p50: number; p95: number; p99: number}>;

export type BucketSummary = Readonly<{
	bucket: LengthBucketName;
	prompts: number;
	completed: number;
	/** Answers after which no token came in time, though the prompt was admitted. */
	deadlineExceeded: number;
	firstTokenMs: Percentiles;
	gapMs: Percentiles;
}>;

export type RunSummary = Readonly<{
	policy: string;
	seed: number;
	load: number;
	buckets: readonly BucketSummary[];
	/** Time to the whole answer with long prompts over that without, for each short prompt. */
	shortSlowdown: Percentiles;
	/** The same for the time to the first token. */
	shortFirstTokenSlowdown: Percentiles;
	/** Share of the prompts that were answered whole within their deadline. */
	goodput: number;
	/** Time to the first token of short prompts of all organisations but the greedy one. */
	othersFirstTokenMs: Percentiles;
	/** Share of those prompts that were answered whole within their deadline. */
	othersGoodput: number;
	shortGoodput: number;
	refused: number;
	unanswered: number;
	/** Attempts over prompts that were admitted. */
	amplification: number;
	cacheHitShare: number;
}>;

const buckets: ReadonlyArray<Readonly<{name: LengthBucketName; to: number}>> = [
	{name: 'under 4k', to: 4000},
	{name: '4k to 32k', to: 32_000},
	{name: '32k to 100k', to: 100_000},
	{name: '100k to 390k', to: 395_000},
	{name: 'above one engine', to: Number.POSITIVE_INFINITY},
];

/** Histograms hold whole numbers; times are kept in hundredths. */
const scale = 100;

function getBucketName(outcome: PromptOutcome): LengthBucketName {
	return buckets.find(bucket => outcome.prompt.work.promptTokens <= bucket.to)?.name ?? 'above one engine';
}

function getPercentiles(values: readonly number[]): Percentiles {
	const histogram: Histogram = build({numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * scale)));
	}

	const getAt = (percentile: number): number => values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / scale;
	return {
		count: values.length, p50: getAt(50), p95: getAt(95), p99: getAt(99),
	};
}

function getBucketSummary(bucket: LengthBucketName, outcomes: readonly PromptOutcome[]): BucketSummary {
	const own = outcomes.filter(outcome => getBucketName(outcome) === bucket);
	return {
		bucket,
		prompts: own.length,
		completed: own.filter(outcome => outcome.result === 'completed').length,
		deadlineExceeded: own.filter(outcome => outcome.result === 'deadlineExceeded').length,
		firstTokenMs: getPercentiles(own.flatMap(outcome => outcome.firstTokenMs ?? [])),
		gapMs: getPercentiles(own.flatMap(outcome => outcome.gapsMs)),
	};
}

function isShort(outcome: PromptOutcome): boolean {
	return getBucketName(outcome) === 'under 4k';
}

function getSlowdowns(
	result: RunResult,
	alone: RunResult,
	getTime: (outcome: PromptOutcome) => number | undefined,
): readonly number[] {
	const timesAlone = new Map(alone.outcomes.map(outcome => [outcome.prompt.requestId, getTime(outcome)]));
	return result.outcomes.filter(outcome => isShort(outcome) && outcome.result === 'completed').flatMap(outcome => {
		const time = getTime(outcome);
		const timeAlone = timesAlone.get(outcome.prompt.requestId);
		return time === undefined || timeAlone === undefined ? [] : [time / timeAlone];
	});
}

function getShare(part: readonly unknown[], whole: readonly unknown[]): number {
	return whole.length === 0 ? 1 : part.length / whole.length;
}

/** Sums up a run; `alone` is the run of the same seed without long prompts. */
export function summariseRun(result: RunResult, alone: RunResult, run: Readonly<{policy: string; seed: number; load: number}>): RunSummary {
	const {outcomes} = result;
	const short = outcomes.filter(outcome => isShort(outcome));
	const others = short.filter(outcome => outcome.prompt.organisation !== greedyOrganisation);
	const refusals = new Set<PromptOutcome['result']>(['overloaded', 'deadlineUnreachable', 'promptTooLarge', 'rateLimited']);
	const refused = outcomes.filter(outcome => refusals.has(outcome.result));
	const isCompleted = (outcome: PromptOutcome): boolean => outcome.result === 'completed';
	return {
		...run,
		buckets: buckets.map(({name}) => getBucketSummary(name, outcomes)),
		shortSlowdown: getPercentiles(getSlowdowns(result, alone, outcome => outcome.totalMs)),
		shortFirstTokenSlowdown: getPercentiles(getSlowdowns(result, alone, outcome => outcome.firstTokenMs)),
		goodput: getShare(outcomes.filter(outcome => isCompleted(outcome)), outcomes),
		othersFirstTokenMs: getPercentiles(others.flatMap(outcome => outcome.firstTokenMs ?? [])),
		othersGoodput: getShare(others.filter(outcome => isCompleted(outcome)), others),
		shortGoodput: getShare(short.filter(outcome => isCompleted(outcome)), short),
		refused: refused.length,
		unanswered: outcomes.filter(outcome => outcome.result === 'open').length,
		amplification: result.attempts / Math.max(1, outcomes.length - refused.length),
		cacheHitShare: result.cacheHitTokens / Math.max(1, result.cacheHitTokens + result.prefilledTokens),
	};
}
