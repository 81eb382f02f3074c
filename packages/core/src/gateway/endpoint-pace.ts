/**
The pace of each endpoint: by which factor its responses take longer than predicted, relative to its service.

The load that it answers: endpoints of one service that are uneven, and some that turn slow for seconds. Deviations that all
endpoints of a service have in common, as under overload, belong to the prediction and not to an endpoint, and are taken out.
A gateway sees an endpoint seldom when there are many gateways, so each tells the others what deviates; that is
forgotten within seconds, so that a recovered endpoint is tried again. A prompt that several servers process is as late as
the slowest of them: in time, it shows that none of them is slow; late, its delay is shared out, mostly to those that are slow already.
First events also depend on requests that this gateway doesn't know of yet, and pauses hardly do: each kind of observation counts by
how far it usually scatters, so that chance delays of a server that isn't slow turn no requests away from it.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {createEndpointStarts} from './endpoint-starts.js';
import type {EndpointId, ListedEndpoint} from './gateway-types.js';
import {getAverageRatio, getUpdatedAverage, type LogAverage} from './log-average.js';

/** A response took `ratio` times as long as predicted for its service. */
export type PaceChange = Readonly<{kind: 'paceObserved'; endpoint: EndpointId; ratio: number}>;

/** What was timed: the first event of a prompt at one server or at several, a whole response, or the pauses of a stream. */
export type PaceSource = 'firstEvent' | 'splitFirstEvent' | 'response' | 'pauses';

export type PaceObservation = Readonly<{
	service: string;
	source: PaceSource;
	/** The endpoints that had a part in it. */
	endpoints: readonly EndpointId[];
	predictedMs: Milliseconds;
	observedMs: Milliseconds;
	/** Whether it was given up after the observed time, so that it would have taken longer. */
	isMinimum: boolean;
}>;

export type EndpointPaces = Readonly<{
	/** Applies a complete list of endpoints; nothing is known of a new process. */
	applyList(endpoints: readonly ListedEndpoint[], now: Timestamp): void;
	/** Returns the factor by which an endpoint is slower than predicted; 1 unless enough deviated. */
	getPace(endpoint: EndpointId, now: Timestamp): number;
	/** Learns from a response, and returns what the other gateways should know of it. */
	learn(observation: PaceObservation, now: Timestamp): readonly PaceChange[];
	applyPeerChange(change: PaceChange, now: Timestamp): void;
}>;

const endpointHalfLifeMs: Milliseconds = 2000;
const serviceHalfLifeMs: Milliseconds = 10_000;
/** Number of observations that an endpoint starts with: of usual pace, or of the pace of those that started as lately. */
const endpointPriorWeight = 1;
const servicePrior = {ratio: 1, weight: 4};
/** Variance of the logarithm of the paces of endpoints, some of which are slow. */
const paceVariance = 0.5;
/** The same of ratios of endpoints of usual pace before any were seen, as a power of e, and the number of observations that it counts as. */
const initialScatter = {ratio: Math.exp(0.05), weight: 8};
/** Deviation beyond which a ratio adds no more to the scatter, so that slow endpoints hardly do. */
const scatterDeviation = 2;
/** Part of each response that doesn't depend on the endpoint's pace: connections and delays of the network. */
const allowanceMs: Milliseconds = 30;
/** Ratios beyond these say no more than these. */
const minimumRatio = 0.25;
const maximumRatio = 8;
/** Deviation below which a pace counts as usual. */
const usualDeviation = 1.25;
/** Deviation of a single response from which on it is told to the other gateways. */
const toldDeviation = 1.6;
/** Minimum time between what a gateway tells of one endpoint. */
const toldIntervalMs: Milliseconds = 250;
const maximumTrackedEndpoints = 20_000;
const maximumTrackedServices = 1000;

function isDeviation(ratio: number, deviation: number): boolean {
	return ratio > deviation || ratio < 1 / deviation;
}

function getBoundedRatio(ratio: number): number {
	return Math.min(maximumRatio, Math.max(minimumRatio, ratio));
}

/** Returns the part of a deviation that is likely the endpoint's pace and not chance. */
function getLikelyRatio(ratio: number, scatter: number): number {
	return ratio ** (paceVariance / (paceVariance + scatter));
}

/** Returns the ratio that an observation shows of each of the endpoints of the given paces. */
function getSharedRatios(ratio: number, paces: readonly number[]): readonly number[] {
	if (paces.length <= 1 || ratio <= usualDeviation) {
		return paces.map(() => ratio);
	}

	const total = paces.reduce((sum, pace) => sum + (pace * pace), 0);
	return paces.map(pace => ratio ** (pace * pace / total));
}

/** Creates a record in which all endpoints have their usual pace. */
export function createEndpointPaces(): EndpointPaces {
	const starts = createEndpointStarts();
	const averages = createBoundedCache<EndpointId, LogAverage>(maximumTrackedEndpoints);
	/** Common deviation of each service, by what is timed. */
	const services = createBoundedCache<string, LogAverage>(maximumTrackedServices);
	/** Powers of e of the squared logarithms of ratios, by what is timed: the logarithm of the average is their variance. */
	const scatters = createBoundedCache<string, LogAverage>(maximumTrackedServices);
	const toldAt = createBoundedCache<EndpointId, Timestamp>(maximumTrackedEndpoints);

	function getPace(endpoint: EndpointId, now: Timestamp): number {
		const prior = {ratio: starts.getPace(endpoint, now), weight: endpointPriorWeight};
		const ratio = getAverageRatio(averages.get(endpoint), prior, endpointHalfLifeMs, now);
		return isDeviation(ratio, usualDeviation) ? ratio : 1;
	}

	function record(endpoint: EndpointId, ratio: number, now: Timestamp): void {
		averages.set(endpoint, getUpdatedAverage(averages.get(endpoint), ratio, endpointHalfLifeMs, now));
		starts.learn(endpoint, ratio, now);
	}

	/** Records what a response shows of one endpoint, and returns whether the other gateways should know. */
	function learnRatio(endpoint: EndpointId, ratio: number, isOutlier: boolean, now: Timestamp): boolean {
		// A usual response of an endpoint that was slow shows that it has recovered, and one of a new endpoint how starts are.
		const isNews = isOutlier || getPace(endpoint, now) !== 1 || starts.isStarting(endpoint, now);
		record(endpoint, ratio, now);
		if (!isNews || now - (toldAt.get(endpoint) ?? Number.NEGATIVE_INFINITY) < toldIntervalMs) {
			return false;
		}

		toldAt.set(endpoint, now);
		return true;
	}

	return {
		applyList(endpoints, now) {
			for (const id of starts.applyList(endpoints, now)) {
				averages.delete(id);
			}
		},
		getPace,
		learn({service, source, endpoints, predictedMs, observedMs, isMinimum}, now) {
			const absoluteRatio = getBoundedRatio((observedMs + allowanceMs) / (predictedMs + allowanceMs));
			const key = `${service}\n${source}`;
			const observedRatio = getBoundedRatio(absoluteRatio / getAverageRatio(services.get(key), servicePrior, serviceHalfLifeMs, now));
			const relativeRatio = getLikelyRatio(observedRatio, Math.log(getAverageRatio(scatters.get(key), initialScatter, serviceHalfLifeMs, now)));
			// Of several servers, an early response shows no more than one in time.
			const ratio = endpoints.length > 1 ? Math.max(1, relativeRatio) : relativeRatio;
			const paces = endpoints.map(endpoint => getPace(endpoint, now));
			if (isMinimum && ratio <= Math.max(toldDeviation, ...paces)) {
				return [];
			}

			services.set(key, getUpdatedAverage(services.get(key), absoluteRatio, serviceHalfLifeMs, now));
			const scatteredRatio = Math.min(scatterDeviation, Math.max(1 / scatterDeviation, observedRatio));
			scatters.set(key, getUpdatedAverage(scatters.get(key), scatteredRatio ** Math.log(scatteredRatio), serviceHalfLifeMs, now));
			const shares = getSharedRatios(ratio, paces);
			return endpoints.flatMap((endpoint, index): readonly PaceChange[] => {
				const share = shares[index] ?? 1;
				return learnRatio(endpoint, share, isDeviation(ratio, toldDeviation), now) ? [{kind: 'paceObserved', endpoint, ratio: share}] : [];
			});
		},
		applyPeerChange({endpoint, ratio}, now) {
			if (ratio > 0) {
				record(endpoint, getBoundedRatio(ratio), now);
			}
		},
	};
}
