/**
Error budget burn rates: how fast each route uses up the failures that its service-level objective allows.

A request is good if it was answered and its first token arrived within the target time of the objective. The burn rate
is the fraction of bad requests divided by the allowed fraction. At a rate of 1, the error budget is used up exactly at
the end of the objective's period.
*/
import type {
	Milliseconds, Objective, OrganisationName, RouteName, Timestamp,
} from './types.js';

/** Bucket of requests in reports, by prompt length. */
export type LengthBucket = 'service' | 'under4k' | 'from4kTo32k' | 'from32kTo100k' | 'over100k';

/** A finished request, classified as good or bad. */
export type BurnSample = Readonly<{
	route: RouteName;
	organisation: OrganisationName;
	bucket: LengthBucket;
	isGood: boolean;
}>;

/** Numbers of good and bad requests of one route, organisation and bucket in one window. */
export type BurnCount = Readonly<{
	route: RouteName;
	organisation: OrganisationName;
	bucket: LengthBucket;
	windowMs: Milliseconds;
	good: number;
	bad: number;
}>;

export type BurnCounter = Readonly<{
	record(sample: BurnSample, now: Timestamp): void;
	getCounts(now: Timestamp): readonly BurnCount[];
}>;

/** A line of the report: the burn rate of one route over one window. */
export type BurnLine = Readonly<{
	route: RouteName;
	windowMs: Milliseconds;
	good: number;
	bad: number;
	/** Fraction of bad requests divided by the fraction that the objective allows. */
	burnRate: number;
	/** Fraction of the window's error budget that remains, at least 0. */
	budgetLeft: number;
	/** Organisations with the most bad requests, worst first. */
	worstOrganisations: readonly OrganisationName[];
	worstBuckets: readonly LengthBucket[];
}>;

const minuteMs = 60_000;
const maximumWorstCount = 3;

/** Windows of the report, in milliseconds. */
export const burnWindowsMs = [5 * minuteMs, 60 * minuteMs, 360 * minuteMs] as const;

const longestWindowMinutes = 360;
const longPromptTokens = 100_000;
const mediumPromptTokens = 32_000;
const shortPromptTokens = 4000;

/** Returns the bucket of a prompt of the given length. */
export function getLengthBucket(promptTokens: number): LengthBucket {
	if (promptTokens <= shortPromptTokens) {
		return 'under4k';
	}

	if (promptTokens <= mediumPromptTokens) {
		return 'from4kTo32k';
	}

	return promptTokens <= longPromptTokens ? 'from32kTo100k' : 'over100k';
}

type MinuteCount = {readonly minute: number; good: number; bad: number};

type Series = Readonly<{sample: BurnSample; minutes: MinuteCount[]}>;

/** Creates an empty counter. It counts by the minute and keeps the counts of the longest window. */
export function createBurnCounter(): BurnCounter {
	const seriesByKey = new Map<string, Series>();

	function getSeries(sample: BurnSample): Series {
		const key = JSON.stringify([sample.route, sample.organisation, sample.bucket]);
		const series = seriesByKey.get(key) ?? {sample, minutes: []};
		seriesByKey.set(key, series);
		return series;
	}

	function getWindowCount({sample, minutes}: Series, windowMs: Milliseconds, now: Timestamp): BurnCount {
		const firstMinute = Math.floor((now - windowMs) / minuteMs);
		let good = 0;
		let bad = 0;
		for (const item of minutes) {
			good += item.minute > firstMinute ? item.good : 0;
			bad += item.minute > firstMinute ? item.bad : 0;
		}

		const {route, organisation, bucket} = sample;
		return {
			route, organisation, bucket, windowMs, good, bad,
		};
	}

	return {
		record(sample, now) {
			const {minutes} = getSeries(sample);
			const minute = Math.floor(now / minuteMs);
			const last = minutes.at(-1);
			const current = last?.minute === minute ? last : {minute, good: 0, bad: 0};
			if (current !== last) {
				minutes.push(current);
			}

			current.good += sample.isGood ? 1 : 0;
			current.bad += sample.isGood ? 0 : 1;
			if ((minutes[0]?.minute ?? minute) <= minute - longestWindowMinutes) {
				minutes.shift();
			}
		},
		getCounts(now) {
			const counts = [...seriesByKey.values()].flatMap(series => burnWindowsMs.map(windowMs => getWindowCount(series, windowMs, now)));
			return counts.filter(count => count.good + count.bad > 0);
		},
	};
}

function getWorstNames<Name extends string>(counts: readonly BurnCount[], getName: (count: BurnCount) => Name): readonly Name[] {
	const badByName = new Map<Name, number>();
	for (const count of counts) {
		if (count.bad > 0) {
			badByName.set(getName(count), (badByName.get(getName(count)) ?? 0) + count.bad);
		}
	}

	return [...badByName].toSorted((left, right) => right[1] - left[1]).slice(0, maximumWorstCount).map(([name]) => name);
}

function getBurnLine(route: RouteName, objective: Objective, windowMs: Milliseconds, counts: readonly BurnCount[]): BurnLine {
	let good = 0;
	let bad = 0;
	for (const count of counts) {
		good += count.good;
		bad += count.bad;
	}

	const allowedFraction = 1 - objective.share;
	const burnRate = good + bad === 0 ? 0 : bad / (good + bad) / allowedFraction;
	return {
		route,
		windowMs,
		good,
		bad,
		burnRate,
		budgetLeft: Math.max(0, 1 - burnRate),
		worstOrganisations: getWorstNames(counts, count => count.organisation),
		worstBuckets: getWorstNames(counts, count => count.bucket),
	};
}

/** Aggregates the counts of all entries into one line for each route and window. */
export function getBurnLines(counts: readonly BurnCount[], objectives: ReadonlyMap<RouteName, Objective>): readonly BurnLine[] {
	return [...objectives].flatMap(([route, objective]) => burnWindowsMs.map(windowMs => {
		const routeCounts = counts.filter(count => count.route === route && count.windowMs === windowMs);
		return getBurnLine(route, objective, windowMs, routeCounts);
	}));
}
