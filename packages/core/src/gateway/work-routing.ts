/**
Work-aware routing: what the gateway learns of the cost of requests and the pace of endpoints, and how placements use it.

The load that it answers: requests that look alike and cost different amounts of work, at endpoints that are uneven. All state is
this gateway's own and starts empty; until something was learned, placements are as without it.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Random} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {createEndpointPaces, type PaceChange, type PaceObservation} from './endpoint-pace.js';
import type {GatewayAction} from './gateway-events.js';
import {getDecodePassMs} from './engine-timing.js';
import type {
	EndpointId, EngineProfile, GatewayRequest, ListedEndpoint, ReportedLoad,
} from './gateway-types.js';
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
		| Readonly<{kind: 'responseTimed'; request: GatewayRequest; placement: Placement; observedMs: Milliseconds}>
	/** Neither happened until the send was given up. */
		| Readonly<{kind: 'responseOverdue'; request: GatewayRequest; placement: Placement; waitedMs: Milliseconds}>
	/** Successive pauses between the events of a stream. */
		| Readonly<{kind: 'pausesTimed'; request: GatewayRequest; placement: Placement; pausesMs: readonly Milliseconds[]}>;

export type WorkRouting = Readonly<{
	/** Applies a complete list of endpoints. */
	applyList(endpoints: readonly ListedEndpoint[], now: Timestamp): void;
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

/** Returns the median of an odd or even number of values; a pause that another prompt's prefill lengthens doesn't move it. */
function getMedian(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

export type WorkRoutingHost = Readonly<{
	load: LoadView;
	dataCentre: string;
	random: Random;
	/** Returns the engine profile of a service of model servers. */
	tryGetEngine(service: string): EngineProfile | undefined;
}>;

/** Creates the work-aware routing of one gateway. */
export function createWorkRouting({
	load, dataCentre, random, tryGetEngine,
}: WorkRoutingHost): WorkRouting {
	const serviceTimes = createServiceTimes();
	const paces = createEndpointPaces();
	const viewTrust = createViewTrust();
	/** Mean number of requests of the endpoints of each service at its last placement. */
	const meanRequests = createBoundedCache<string, number>(maximumTrackedServices);
	/** Requests that an endpoint reports beyond those that gateways have told of, such as those of a gateway that is cut off. */
	const unseenRequests = createBoundedCache<EndpointId, UnseenRequests>(maximumTrackedEndpoints);

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

	/** Returns the predicted time of a response at endpoints of usual pace, or `undefined` if there is none or a queue had a part in it. */
	function tryGetPredictedMs({prompt}: GatewayRequest, {usualFirstEventMs, serviceMs, isQueued = false}: Placement): Milliseconds | undefined {
		if (prompt !== undefined) {
			return usualFirstEventMs;
		}

		return isQueued ? undefined : serviceMs;
	}

	/** Learns the pace of endpoints; `expectedMs` is the time that was predicted with the paces known. */
	function learnPace(request: GatewayRequest, observation: PaceObservation, expectedMs: Milliseconds, now: Timestamp): readonly GatewayAction[] {
		const endpoint = observation.endpoints[0] ?? '';
		const changes = paces.learn(observation, now);
		const report: GatewayAction = {
			kind: 'reportTiming', report: {
				route: request.route.name,
				source: observation.source,
				isMinimum: observation.isMinimum,
				endpoint,
				servers: observation.endpoints.length,
				predictedMs: expectedMs,
				observedMs: observation.observedMs,
				pace: paces.getPace(endpoint, now),
				told: changes.length,
			},
		};
		return [report, ...changes.map((change): GatewayAction => ({kind: 'publishChange', change}))];
	}

	function learnFromPlacement(request: GatewayRequest, placement: Placement, observed: Readonly<{observedMs: Milliseconds; isMinimum: boolean}>, now: Timestamp): readonly GatewayAction[] {
		const predictedMs = tryGetPredictedMs(request, placement);
		if (predictedMs === undefined) {
			return [];
		}

		const {endpoint, helpers, firstEventMs, pace = 1} = placement;
		const promptSource = helpers.length === 0 ? 'firstEvent' : 'splitFirstEvent';
		return learnPace(request, {
			service: request.service,
			source: request.prompt === undefined ? 'response' : promptSource,
			endpoints: [endpoint.id, ...helpers.map(helper => helper.endpoint.id)],
			predictedMs,
			...observed,
		}, request.prompt === undefined ? predictedMs * pace : firstEventMs, now);
	}

	/** Learns from the pauses of a stream that depends on one server alone, unless that has prompts to prefill. */
	function learnPauses(request: GatewayRequest, {endpoint, helpers}: Placement, pausesMs: readonly Milliseconds[], now: Timestamp): readonly GatewayAction[] {
		const engine = tryGetEngine(request.service);
		const {prefillBacklogMs, decodingSequences} = load.getLoad(endpoint.id, now);
		if (engine === undefined || prefillBacklogMs > 0 || decodingSequences.length === 0 || helpers.some(({reservedTokens}) => reservedTokens > 0)) {
			return [];
		}

		const predictedMs = getDecodePassMs(engine, decodingSequences.length, decodingSequences.reduce((sum, {promptTokens}) => sum + promptTokens, 0));
		return learnPace(request, {
			service: request.service, source: 'pauses', endpoints: [endpoint.id], predictedMs, observedMs: getMedian(pausesMs), isMinimum: false,
		}, predictedMs * Math.max(1, paces.getPace(endpoint.id, now)), now);
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

		return learnFromPlacement(request, placement, {observedMs, isMinimum: false}, now);
	}

	return {
		applyList: paces.applyList,
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

				case 'responseOverdue': {
					return learnFromPlacement(observation.request, observation.placement, {observedMs: observation.waitedMs, isMinimum: true}, now);
				}

				case 'pausesTimed': {
					return learnPauses(observation.request, observation.placement, observation.pausesMs, now);
				}
			}
		},
		applyPeerChange: paces.applyPeerChange,
	};
}
