/**
The pace of each endpoint: by which factor its responses take longer than predicted, relative to its service.

The load that it answers: endpoints of one service that are uneven, and some that turn slow for seconds. Deviations that all
endpoints of a service have in common, as under overload, belong to the prediction and not to an endpoint, and are taken out.
A gateway sees an endpoint seldom when there are many gateways, so each tells the others what deviates; that is
forgotten within seconds, so that a recovered endpoint is tried again.
*/
import {LRUCache} from 'lru-cache';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EndpointId} from './gateway-types.js';

/** A response took `ratio` times as long as predicted for its service. */
export type PaceChange = Readonly<{kind: 'paceObserved'; endpoint: EndpointId; ratio: number}>;

export type PaceObservation = Readonly<{service: string; endpoint: EndpointId; predictedMs: Milliseconds; observedMs: Milliseconds}>;

export type EndpointPaces = Readonly<{
	/** Returns the factor by which an endpoint is slower than predicted; 1 unless enough deviated. */
	getPace(endpoint: EndpointId, now: Timestamp): number;
	/** Learns from a response, and returns what the other gateways should know of it, if anything. */
	learn(observation: PaceObservation, now: Timestamp): PaceChange | undefined;
	applyPeerChange(change: PaceChange, now: Timestamp): void;
}>;

/** Sum of the logarithms of ratios, and their number, each halved with age. */
type LogAverage = Readonly<{sum: number; weight: number; updatedAt: Timestamp}>;

const endpointHalfLifeMs: Milliseconds = 2000;
const serviceHalfLifeMs: Milliseconds = 10_000;
/** Number of observations of usual pace that an endpoint, or a service, starts with. */
const endpointPriorWeight = 1;
const servicePriorWeight = 4;
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

function getUpdatedAverage(average: LogAverage | undefined, ratio: number, halfLifeMs: Milliseconds, now: Timestamp): LogAverage {
	const {sum, weight, updatedAt} = average ?? {sum: 0, weight: 0, updatedAt: now};
	const kept = 2 ** (-Math.max(0, now - updatedAt) / halfLifeMs);
	return {sum: (sum * kept) + Math.log(ratio), weight: (weight * kept) + 1, updatedAt: now};
}

function getRatio(average: LogAverage | undefined, halfLifeMs: Milliseconds, priorWeight: number, now: Timestamp): number {
	if (average === undefined) {
		return 1;
	}

	const kept = 2 ** (-Math.max(0, now - average.updatedAt) / halfLifeMs);
	return Math.exp(average.sum * kept / ((average.weight * kept) + priorWeight));
}

function isDeviation(ratio: number, deviation: number): boolean {
	return ratio > deviation || ratio < 1 / deviation;
}

function getBoundedRatio(ratio: number): number {
	return Math.min(maximumRatio, Math.max(minimumRatio, ratio));
}

/** Creates a record in which all endpoints have their usual pace. */
export function createEndpointPaces(): EndpointPaces {
	const endpoints = new LRUCache<EndpointId, LogAverage>({max: maximumTrackedEndpoints});
	const services = new LRUCache<string, LogAverage>({max: maximumTrackedServices});
	const toldAt = new LRUCache<EndpointId, Timestamp>({max: maximumTrackedEndpoints});

	function getPace(endpoint: EndpointId, now: Timestamp): number {
		const ratio = getRatio(endpoints.get(endpoint), endpointHalfLifeMs, endpointPriorWeight, now);
		return isDeviation(ratio, usualDeviation) ? ratio : 1;
	}

	return {
		getPace,
		learn({service, endpoint, predictedMs, observedMs}, now) {
			const absoluteRatio = getBoundedRatio((observedMs + allowanceMs) / (predictedMs + allowanceMs));
			const ratio = getBoundedRatio(absoluteRatio / getRatio(services.get(service), serviceHalfLifeMs, servicePriorWeight, now));
			services.set(service, getUpdatedAverage(services.get(service), absoluteRatio, serviceHalfLifeMs, now));
			const wasUsual = getPace(endpoint, now) === 1;
			endpoints.set(endpoint, getUpdatedAverage(endpoints.get(endpoint), ratio, endpointHalfLifeMs, now));
			// A usual response of an endpoint that was slow shows that it has recovered.
			const isNews = isDeviation(ratio, toldDeviation) || !wasUsual;
			if (!isNews || now - (toldAt.get(endpoint) ?? Number.NEGATIVE_INFINITY) < toldIntervalMs) {
				return undefined;
			}

			toldAt.set(endpoint, now);
			return {kind: 'paceObserved', endpoint, ratio};
		},
		applyPeerChange({endpoint, ratio}, now) {
			if (ratio > 0) {
				endpoints.set(endpoint, getUpdatedAverage(endpoints.get(endpoint), getBoundedRatio(ratio), endpointHalfLifeMs, now));
			}
		},
	};
}
