/**
Learned service times of requests without a prompt, by route and, where enough was seen, by organisation within the route.

The load that it answers: requests that look alike and cost very different amounts of work. Each organisation has an
estimate of its own, which is drawn towards the route's until enough responses were seen. In the route's estimate an
organisation counts once for each half-life, whatever it sends, so that a hot key or the odd requests of one organisation
don't set the estimate of the others. Estimates are forgotten with age, and the least recently used keys are dropped.
*/
import {LRUCache} from 'lru-cache';
import type {Milliseconds, Timestamp} from '../types.js';

/** What requests are alike by. */
export type RequestClass = Readonly<{route: string; organisation: string | undefined}>;

export type ServiceTimeEstimate = Readonly<{meanMs: Milliseconds; deviationMs: Milliseconds}>;

export type ServiceTimes = Readonly<{
	/** Learns from a response that waited in no queue, with its service time at an endpoint of usual pace. */
	learn(requestClass: RequestClass, serviceMs: Milliseconds, now: Timestamp): void;
	/** Returns the estimate, or `undefined` if nothing was seen of the route lately. */
	tryGetEstimate(requestClass: RequestClass, now: Timestamp): ServiceTimeEstimate | undefined;
}>;

/** `count` is the number of observations, and `weight` the sum of their weights, each halved with age. */
type Average = {count: number; weight: number; meanMs: Milliseconds; variance: number; updatedAt: Timestamp};

/** Age at which an observation counts half. */
const halfLifeMs: Milliseconds = 30_000;
/** Weight below which an average is forgotten. */
const minimumWeight = 0.05;
/** Number of an organisation's observations that count as much as the route's estimate. */
const priorObservations = 8;
/** Multiple of the mean at which an observation is cut off once a few were seen; time-outs of a faulty endpoint look longer. */
const maximumMultiple = 5;
const fewObservations = 4;
const maximumTrackedClasses = 4096;

function createAverage(): Average {
	return {
		count: 0, weight: 0, meanMs: 0, variance: 0, updatedAt: 0,
	};
}

function getKeptShare({updatedAt}: Average, now: Timestamp): number {
	return 2 ** (-Math.max(0, now - updatedAt) / halfLifeMs);
}

function getWeight(average: Average, now: Timestamp): number {
	return average.weight * getKeptShare(average, now);
}

function addObservation(average: Average, valueMs: Milliseconds, weight: number, now: Timestamp): void {
	const earlierWeight = getWeight(average, now);
	const earlierCount = average.count * getKeptShare(average, now);
	const observedMs = earlierCount < fewObservations ? valueMs : Math.min(valueMs, average.meanMs * maximumMultiple);
	const gain = weight / (earlierWeight + weight);
	const difference = observedMs - average.meanMs;
	average.count = earlierCount + 1;
	average.weight = earlierWeight + weight;
	average.variance = (1 - gain) * (average.variance + (gain * difference * difference));
	average.meanMs += gain * difference;
	average.updatedAt = now;
}

/** Creates a record without observations. */
export function createServiceTimes(): ServiceTimes {
	const averages = new LRUCache<string, Average>({max: maximumTrackedClasses});

	function getOrganisationKey({route, organisation}: RequestClass): string {
		return `${route}\n${organisation ?? ''}`;
	}

	function getAverage(key: string): Average {
		const average = averages.get(key) ?? createAverage();
		averages.set(key, average);
		return average;
	}

	return {
		learn(requestClass, serviceMs, now) {
			if (!Number.isFinite(serviceMs) || serviceMs < 0) {
				return;
			}

			const own = getAverage(getOrganisationKey(requestClass));
			addObservation(getAverage(requestClass.route), serviceMs, 1 / (1 + getWeight(own, now)), now);
			addObservation(own, serviceMs, 1, now);
		},
		tryGetEstimate(requestClass, now) {
			const common = averages.get(requestClass.route);
			if (common === undefined || getWeight(common, now) < minimumWeight) {
				return undefined;
			}

			const own = averages.get(getOrganisationKey(requestClass));
			const ownWeight = own === undefined ? 0 : getWeight(own, now);
			const ownShare = ownWeight / (ownWeight + priorObservations);
			const meanMs = common.meanMs + (ownShare * ((own?.meanMs ?? 0) - common.meanMs));
			const variance = common.variance + (ownShare * ((own?.variance ?? 0) - common.variance));
			return {meanMs, deviationMs: Math.sqrt(Math.max(0, variance))};
		},
	};
}
