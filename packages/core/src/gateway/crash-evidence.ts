/**
The test by which crashes of servers are attributed to a trait of the requests that they ended: a segment of their prompts, or a
request as a whole.

A trait that is sound occurs among the requests that a crash ends by chance only, and is missing in crashes as often as chance
gives. A trait that causes a share of the crashes occurs in all of these. The evidence against a trait is the likelihood ratio of
the two, averaged over possible shares. Its expected value for a sound trait is at most 1, however many crashes are looked at, so
that a sound trait ever reaches a value of `x` with a probability of at most `1 / x` (Ville's inequality). What counts is therefore
the largest value so far.

Crashes at about the same time may have one cause from outside, such as the loss of a rack. They count once, by their weakest
indication, and no moment counts for more than a fixed factor, so that several moments are needed.
*/
import type {Milliseconds, Timestamp} from '../types.js';

/**
What a crash says about a trait: it was lost in the crash, which has the probability `chance` if it is sound, or it was not. The
`request` by which it was lost is the same for all repeats of it.
*/
export type CrashIndication = Readonly<{kind: 'hit'; at: Timestamp; chance: number; request: string} | {kind: 'miss'; at: Timestamp}>;

/** Evidence from which on a trait is taken for a cause. A sound one reaches it with a probability of one in 50 at most, as far as the chances are right. */
export const conclusiveEvidence = 50;
/** Evidence down to which a trait that was taken for a cause remains so. */
export const sustainedEvidence = 10;

/** Shares of the crashes that a trait may cause, and the weight of each in the average. */
const causedShares: ReadonlyArray<Readonly<{share: number; weight: number}>> = [
	{share: 1, weight: 0.4}, {share: 0.8, weight: 0.2}, {share: 0.5, weight: 0.2}, {share: 0.2, weight: 0.12}, {share: 0.05, weight: 0.08},
];
/** Largest factor by which one moment counts. Three such moments suffice. */
const maximumMomentFactor = 7;
/** Largest factor by which all losses of one request count against a part of it. Two such requests suffice. */
const maximumRequestFactor = 20;

/** What the crashes of one moment say: the largest chance by which the trait was lost, and the request concerned. */
type Moment = {readonly at: Timestamp; chance: number | undefined; request: string; hasMiss: boolean};

function getMoments(indications: readonly CrashIndication[], momentMs: Milliseconds): readonly Moment[] {
	const moments: Moment[] = [];
	for (const indication of indications.toSorted((left, right) => left.at - right.at)) {
		const last = moments.at(-1);
		const moment: Moment = last !== undefined && indication.at - last.at < momentMs
			? last
			: {
				at: indication.at, chance: undefined, request: '', hasMiss: false,
			};
		if (moment !== last) {
			moments.push(moment);
		}

		if (indication.kind === 'miss') {
			moment.hasMiss = true;
		} else if (moment.chance === undefined || indication.chance > moment.chance) {
			moment.chance = indication.chance;
			moment.request = indication.request;
		}
	}

	return moments;
}

/** Returns the factor by which the losses of a moment are likelier if the trait causes a share of the crashes than if it is sound. */
function getHitFactor(chance: number, share: number): number {
	return Math.min(maximumMomentFactor, (share + ((1 - share) * chance)) / chance);
}

/** Returns the likelihood ratio after each moment if the trait causes a share of the crashes. */
function getLikelihoodRatios(moments: readonly Moment[], share: number): readonly number[] {
	const requestFactors = new Map<string, number>();
	let ratio = 1;
	return moments.map(({chance, request, hasMiss}) => {
		ratio *= hasMiss ? 1 - share : 1;
		if (chance !== undefined) {
			const before = requestFactors.get(request) ?? 1;
			const after = Math.min(maximumRequestFactor, before * getHitFactor(chance, share));
			requestFactors.set(request, after);
			ratio *= after / before;
		}

		return ratio;
	});
}

/** Evidence against a trait. */
export type CrashEvidence = Readonly<{
	/** After all crashes. */
	current: number;
	/** The largest value after any crash. */
	highest: number;
}>;

/** Returns the evidence against a trait. Crashes within `momentMs` count as one moment. */
export function getCrashEvidence(indications: readonly CrashIndication[], momentMs: Milliseconds): CrashEvidence {
	const moments = getMoments(indications, momentMs);
	const ratios = causedShares.map(({share, weight}) => getLikelihoodRatios(moments, share).map(ratio => ratio * weight));
	const values = moments.map((_, index) => ratios.reduce((sum, shareRatios) => sum + (shareRatios[index] ?? 0), 0));
	return {current: values.at(-1) ?? 1, highest: Math.max(1, ...values)};
}
