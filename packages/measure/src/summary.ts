/**
Summary statistics of a run: latency by prompt length, slowdown of short prompts, goodput and retries.
*/
import {build, type Histogram} from 'hdr-histogram-js';
import type {PromptOutcome, SimulationResult} from './simulation.js';
import {greedyOrganisationIndex} from './workload.js';

export type LengthBucketName = 'under 4k' | '4k to 32k' | '32k to 100k' | '100k to 390k' | 'above one engine';

export type Percentiles = Readonly<{count: number; p50: number; p95: number; p99: number}>;

export type BucketSummary = Readonly<{
	bucket: LengthBucketName;
	prompts: number;
	completed: number;
	/** Prompts that were admitted and then missed their deadline. */
	deadlineExceeded: number;
	firstTokenMs: Percentiles;
	/** Time between successive deliveries of tokens. */
	gapMs: Percentiles;
}>;

export type RunSummary = Readonly<{
	policy: string;
	seed: number;
	load: number;
	buckets: readonly BucketSummary[];
	/** Per short prompt: the time to the complete answer, divided by that in the baseline run without long prompts. */
	shortSlowdown: Percentiles;
	/** Like `shortSlowdown`, but for the time to the first token. */
	shortFirstTokenSlowdown: Percentiles;
	/** Share of the prompts that completed within their deadline. */
	goodput: number;
	/** Time to the first token of the short prompts of all organisations except the greedy one. */
	othersFirstTokenMs: Percentiles;
	/** Share of those prompts that completed within their deadline. */
	othersGoodput: number;
	shortGoodput: number;
	refused: number;
	unanswered: number;
	/** Attempts per admitted prompt. */
	amplification: number;
	/** Share of the prompt tokens that came from a prefix cache instead of being prefilled. */
	cacheHitShare: number;
}>;

/** The limit of 395,000 tokens is the simulated route's `maximumPromptTokens`. */
const buckets: ReadonlyArray<Readonly<{name: LengthBucketName; maximumTokens: number}>> = [
	{name: 'under 4k', maximumTokens: 4000},
	{name: '4k to 32k', maximumTokens: 32_000},
	{name: '32k to 100k', maximumTokens: 100_000},
	{name: '100k to 390k', maximumTokens: 395_000},
	{name: 'above one engine', maximumTokens: Number.POSITIVE_INFINITY},
];

/** Histograms store integers, so values are recorded in hundredths. */
const histogramScale = 100;

function getBucketName(outcome: PromptOutcome): LengthBucketName {
	return buckets.find(bucket => outcome.prompt.work.promptTokens <= bucket.maximumTokens)?.name ?? 'above one engine';
}

function getPercentiles(values: readonly number[]): Percentiles {
	const histogram: Histogram = build({numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * histogramScale)));
	}

	const getValueAt = (percentile: number): number => values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / histogramScale;
	return {
		count: values.length, p50: getValueAt(50), p95: getValueAt(95), p99: getValueAt(99),
	};
}

function summariseBucket(bucket: LengthBucketName, outcomes: readonly PromptOutcome[]): BucketSummary {
	const inBucket = outcomes.filter(outcome => getBucketName(outcome) === bucket);
	return {
		bucket,
		prompts: inBucket.length,
		completed: inBucket.filter(outcome => outcome.result === 'completed').length,
		deadlineExceeded: inBucket.filter(outcome => outcome.result === 'deadlineExceeded').length,
		firstTokenMs: getPercentiles(inBucket.flatMap(outcome => outcome.firstTokenMs ?? [])),
		gapMs: getPercentiles(inBucket.flatMap(outcome => outcome.gapsMs)),
	};
}

function isShortPrompt(outcome: PromptOutcome): boolean {
	return getBucketName(outcome) === 'under 4k';
}

function getSlowdowns(
	result: SimulationResult,
	baseline: SimulationResult,
	getTime: (outcome: PromptOutcome) => number | undefined,
): readonly number[] {
	const baselineTimes = new Map(baseline.outcomes.map(outcome => [outcome.prompt.requestId, getTime(outcome)]));
	return result.outcomes.filter(outcome => isShortPrompt(outcome) && outcome.result === 'completed').flatMap(outcome => {
		const time = getTime(outcome);
		const baselineTime = baselineTimes.get(outcome.prompt.requestId);
		return time === undefined || baselineTime === undefined ? [] : [time / baselineTime];
	});
}

function getShare(part: readonly unknown[], whole: readonly unknown[]): number {
	return whole.length === 0 ? 1 : part.length / whole.length;
}

/** Summarises a run; `baseline` is the run of the same workload without its long prompts. */
export function summariseRun(result: SimulationResult, baseline: SimulationResult, runParameters: Readonly<{policy: string; seed: number; load: number}>): RunSummary {
	const {outcomes} = result;
	const shortOutcomes = outcomes.filter(outcome => isShortPrompt(outcome));
	const otherOutcomes = shortOutcomes.filter(outcome => outcome.prompt.organisationIndex !== greedyOrganisationIndex);
	const refusalKinds = new Set<PromptOutcome['result']>(['overloaded', 'deadlineUnreachable', 'promptTooLarge', 'rateLimited']);
	const refused = outcomes.filter(outcome => refusalKinds.has(outcome.result));
	const isCompleted = (outcome: PromptOutcome): boolean => outcome.result === 'completed';
	return {
		...runParameters,
		buckets: buckets.map(({name}) => summariseBucket(name, outcomes)),
		shortSlowdown: getPercentiles(getSlowdowns(result, baseline, outcome => outcome.totalMs)),
		shortFirstTokenSlowdown: getPercentiles(getSlowdowns(result, baseline, outcome => outcome.firstTokenMs)),
		goodput: getShare(outcomes.filter(outcome => isCompleted(outcome)), outcomes),
		othersFirstTokenMs: getPercentiles(otherOutcomes.flatMap(outcome => outcome.firstTokenMs ?? [])),
		othersGoodput: getShare(otherOutcomes.filter(outcome => isCompleted(outcome)), otherOutcomes),
		shortGoodput: getShare(shortOutcomes.filter(outcome => isCompleted(outcome)), shortOutcomes),
		refused: refused.length,
		unanswered: outcomes.filter(outcome => outcome.result === 'open').length,
		amplification: result.submittedAttemptCount / Math.max(1, outcomes.length - refused.length),
		cacheHitShare: result.cacheHitTokens / Math.max(1, result.cacheHitTokens + result.prefilledTokens),
	};
}
