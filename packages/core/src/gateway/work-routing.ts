/**
Work-aware routing: what the gateway learns of the cost of requests and the pace of endpoints, and how placements use it.

The load that it answers: requests that look alike and cost different amounts of work, at endpoints that are uneven. All state is
this gateway's own and starts empty; until something was learned, placements are as without it.
*/
import {LRUCache} from 'lru-cache';
import type {Random} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {createEndpointPaces, type PaceChange} from './endpoint-pace.js';
import type {GatewayAction} from './gateway-events.js';
import type {EndpointId, GatewayRequest, ReportedLoad} from './gateway-types.js';
import type {LoadView} from './load-view.js';
import {findServicePlacement, type Placement} from './placement.js';
import type {Candidate} from './placement-cost.js';
import {findLeastWorkPlacement, getMeanRequests} from './service-placement.js';
import {createServiceTimes, type RequestClass} from './service-times.js';
import {createViewTrust} from './view-trust.js';

/** What a send shows of the work of its request and of its endpoint. */
export type WorkObservation
	/** The endpoint says in a response what it has to do. */
	= | Readonly<{kind: 'loadReported'; service: string; endpoint: EndpointId; load: ReportedLoad}>
	/** The first event of a stream arrived, or a response without a prompt is complete. */
		| Readonly<{kind: 'responseTimed'; request: GatewayRequest; placement: Placement; observedMs: Milliseconds}>;

export type WorkRouting = Readonly<{
	/** Adds the pace of each model server; none is faster than its engine profile says, whatever its backlog was taken for. */
	addPace(candidates: readonly Candidate[], now: Timestamp): readonly Candidate[];
	/** Returns the placement of a request without a prompt, or `undefined` if there is no candidate. */
	findServicePlacement(request: GatewayRequest, candidates: readonly Candidate[], now: Timestamp): Placement | undefined;
	learn(observation: WorkObservation, now: Timestamp): readonly GatewayAction[];
	applyPeerChange(change: PaceChange, now: Timestamp): void;
}>;

type UnseenRequests = Readonly<{count: number; reportedAt: Timestamp}>;

/** Time in which requests that only the endpoint knows of are taken to end. */
const unseenRequestMs: Milliseconds = 1000;
const maximumTrackedEndpoints = 20_000;
const maximumTrackedServices = 1000;

function getRequestClass({route, organisation}: GatewayRequest): RequestClass {
	return {route: route.name, organisation};
}

/** Creates the work-aware routing of one gateway. */
export function createWorkRouting({load, dataCentre, random}: Readonly<{load: LoadView; dataCentre: string; random: Random}>): WorkRouting {
	const serviceTimes = createServiceTimes();
	const paces = createEndpointPaces();
	const viewTrust = createViewTrust();
	/** Mean number of requests of the endpoints of each service at its last placement. */
	const meanRequests = new LRUCache<string, number>({max: maximumTrackedServices});
	/** Requests that an endpoint reports beyond those that gateways have told of, such as those of a gateway that is cut off. */
	const unseenRequests = new LRUCache<EndpointId, UnseenRequests>({max: maximumTrackedEndpoints});

	function getUnseenCount(endpoint: EndpointId, now: Timestamp): number {
		const unseen = unseenRequests.get(endpoint);
		return unseen === undefined ? 0 : unseen.count * Math.max(0, 1 - ((now - unseen.reportedAt) / unseenRequestMs));
	}

	function learnLoad(service: string, endpoint: EndpointId, {runningRequests, waitingRequests}: ReportedLoad, now: Timestamp): void {
		const mean = meanRequests.get(service);
		if (mean === undefined) {
			return;
		}

		const seenRequests = load.getLoad(endpoint, now).requests;
		viewTrust.learn(seenRequests - mean, runningRequests + waitingRequests - mean);
		const count = runningRequests + waitingRequests - seenRequests;
		if (count > 0) {
			unseenRequests.set(endpoint, {count, reportedAt: now});
		} else {
			unseenRequests.delete(endpoint);
		}
	}

	/** Returns the predicted time of a response at an endpoint of usual pace, or `undefined` if several endpoints or a queue had a part in it. */
	function tryGetPredictedMs({prompt}: GatewayRequest, {helpers, usualFirstEventMs, serviceMs, isQueued = false}: Placement): Milliseconds | undefined {
		if (prompt !== undefined) {
			return helpers.length === 0 ? usualFirstEventMs : undefined;
		}

		return isQueued ? undefined : serviceMs;
	}

	function learnTime(request: GatewayRequest, placement: Placement, observedMs: Milliseconds, now: Timestamp): readonly GatewayAction[] {
		const endpoint = placement.endpoint.id;
		// The first event of a stream doesn't tell its service time.
		if (request.prompt === undefined && request.route.kind === 'streaming') {
			return [];
		}

		if (request.prompt === undefined && placement.isQueued === false && getUnseenCount(endpoint, now) === 0) {
			serviceTimes.learn(getRequestClass(request), observedMs / paces.getPace(endpoint, now), now);
		}

		const predictedMs = tryGetPredictedMs(request, placement);
		if (predictedMs === undefined) {
			return [];
		}

		const change = paces.learn({
			service: request.service, endpoint, predictedMs, observedMs,
		}, now);
		const report: GatewayAction = {
			kind: 'reportTiming', report: {
				route: request.route.name, endpoint, predictedMs: request.prompt === undefined ? predictedMs * (placement.pace ?? 1) : placement.firstEventMs, observedMs, pace: paces.getPace(endpoint, now), isTold: change !== undefined,
			},
		};
		return change === undefined ? [report] : [report, {kind: 'publishChange', change}];
	}

	return {
		addPace: (candidates, now) => candidates.map(candidate => ({...candidate, pace: Math.max(1, paces.getPace(candidate.endpoint.id, now))})),
		findServicePlacement(request, candidates, now) {
			meanRequests.set(request.service, getMeanRequests(candidates));
			const estimate = serviceTimes.tryGetEstimate(getRequestClass(request), now);
			if (estimate === undefined) {
				const placement = findServicePlacement(candidates, dataCentre);
				return placement === undefined
					? undefined
					: {...placement, isQueued: load.getLoad(placement.endpoint.id, now).requests >= placement.endpoint.slots};
			}

			const {meanMs} = estimate;
			const serviceCandidates = candidates.map(candidate => {
				const {id} = candidate.endpoint;
				const unseenCount = getUnseenCount(id, now);
				return {
					...candidate,
					load: {...candidate.load, requests: candidate.load.requests + unseenCount},
					pace: paces.getPace(id, now),
					workLeftMs: load.getWorkLeftMs(id, meanMs, now) + (unseenCount * meanMs),
				};
			});
			return findLeastWorkPlacement(serviceCandidates, meanMs, {dataCentre, random, trust: viewTrust.getTrust()});
		},
		learn(observation, now) {
			switch (observation.kind) {
				case 'loadReported': {
					learnLoad(observation.service, observation.endpoint, observation.load, now);
					return [];
				}

				case 'responseTimed': {
					return learnTime(observation.request, observation.placement, observation.observedMs, now);
				}
			}
		},
		applyPeerChange: paces.applyPeerChange,
	};
}
