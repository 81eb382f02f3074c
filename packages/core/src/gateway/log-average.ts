/**
Averages of ratios that are forgotten with age.

The load that they answer: few observations that scatter by factors, of things that change within seconds. Logarithms are averaged, so
that twice as slow and twice as fast cancel each other.
*/
import type {Milliseconds, Timestamp} from '../types.js';

/** Sum of the logarithms of ratios, and their number, each halved with age. */
export type LogAverage = Readonly<{sum: number; weight: number; updatedAt: Timestamp}>;

/** The ratio that an average starts with, and the number of observations that it counts as. */
export type LogPrior = Readonly<{ratio: number; weight: number}>;

function getKeptShare({updatedAt}: LogAverage, halfLifeMs: Milliseconds, now: Timestamp): number {
	return 2 ** (-Math.max(0, now - updatedAt) / halfLifeMs);
}

/** Returns the average with another ratio. */
export function getUpdatedAverage(average: LogAverage | undefined, ratio: number, halfLifeMs: Milliseconds, now: Timestamp): LogAverage {
	const kept = average === undefined ? 0 : getKeptShare(average, halfLifeMs, now);
	return {sum: ((average?.sum ?? 0) * kept) + Math.log(ratio), weight: ((average?.weight ?? 0) * kept) + 1, updatedAt: now};
}

/** Returns the average ratio, drawn towards the prior. */
export function getAverageRatio(average: LogAverage | undefined, prior: LogPrior, halfLifeMs: Milliseconds, now: Timestamp): number {
	if (average === undefined) {
		return prior.ratio;
	}

	const kept = getKeptShare(average, halfLifeMs, now);
	return Math.exp(((average.sum * kept) + (prior.weight * Math.log(prior.ratio))) / ((average.weight * kept) + prior.weight));
}
