/**
The gateway's state machine: admits requests, places them on endpoints, and decides what their callers receive.

The driver passes in events and performs the returned actions. The state machine reads no clock and does no I/O, so that
replaying a recorded list of events yields the same actions.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import {createRandom} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {
	createConfigurationState, type ConfigurationStateSettings, type RouteGrant, type RouteRefusal,
} from './configuration-state.js';
import {createColdEndpoints, type ColdCounts, type ColdEndpointSettings} from './cold-endpoints.js';
import {createColdShares} from './cold-shares.js';
import {createEndpointLimits} from './endpoint-limits.js';
import {createEndpointRanking, getHash} from './endpoint-ranking.js';
import {createEndpointRegistry, type EndpointRegistrySettings} from './endpoint-registry.js';
import type {
	EndpointId, GatewayRequest, ListedEndpoint, RequestKey, ServedOrganisation, ServedRoute, ServingConfiguration,
} from './gateway-types.js';
import {
	createLoadView, type GatewayName, type OpenWork, type WorkChange,
} from './load-view.js';
import {
	findPromptPlacement, findServicePlacement, getCandidates, type Placement,
} from './placement.js';
import {createOrganisationWork} from './organisation-work.js';
import {getClientTimeoutEstimateMs, getLatenessWeight, type Candidate} from './placement-cost.js';
import {createPlacementRestrictions, type EvacuationList} from './placement-restrictions.js';
import type {
	GatewayEvent, GatewayAction, RequestEvent, SendId,
} from './gateway-events.js';
import {createForwardedRequest, type PlacementDecision, type ForwardedRequest} from './forwarded-request.js';
import type {PeerChange} from './peer-changes.js';
import {getTraits, isWholeRequest} from './request-traits.js';
import {createSegmentQuarantine} from './segment-quarantine.js';
import {createWorkRouting, type WorkObservation} from './work-routing.js';
import {createRetryQuota, type RetryQuotaSettings} from './retry-quota.js';
import {
	canWaitForMemory, getSpreadRetryMs, getUrgencyLevels, hasMoreUrgentLevel, hasUrgency, isWaitingForUrgent, singleLevel, tryGetAdmissionPriority, type UrgencyLevels,
} from './urgency.js';
import {createUrgentRoom, getUrgentInterferenceCost} from './urgent-room.js';
import {createWaitingPrompts} from './waiting-prompts.js';

export type GatewaySettings = Readonly<{
	name: GatewayName;
	/** Distinguishes this process from earlier and later ones of the same gateway. */
	incarnation: string;
	dataCentre: string;
	configuration: ConfigurationStateSettings;
	endpoints: EndpointRegistrySettings;
	retryQuota: RetryQuotaSettings;
	/** Time for which the platform allows reserved memory to be unused. */
	memoryIdleMs: Milliseconds;
	/** Region of each data centre; empty if the deployment has none. */
	regions: ReadonlyMap<string, string>;
	/** Time within which evacuations must be in force; `undefined` if the operator evacuates no data centre. */
	evacuationMs: Milliseconds | undefined;
	/** Limit on the requests to cold endpoints of all gateways together; `undefined` if there is none. */
	coldEndpoints: ColdEndpointSettings | undefined;
	/** Whether placements depend on the learned cost of requests and pace of endpoints. */
	isWorkAware: boolean;
	/** Whether the priorities of requests decide what waits and which endpoints long prompts leave alone. */
	isUrgencyAware: boolean;
}>;

export type Gateway = Readonly<{
	step(event: GatewayEvent, now: Timestamp): readonly GatewayAction[];
	/** Returns when the next `timePassed` is due, or `undefined` if none is. */
	tryGetWakeAt(): Timestamp | undefined;
	/** Finds the route of a request and checks its API key. */
	checkRoute(host: string, path: string, credential: string | undefined, now: Timestamp): RouteGrant | RouteRefusal;
	tryGetConfiguration(): ServingConfiguration | undefined;
	/** Returns the priority of an organisation's requests of a route. */
	getPriority(route: ServedRoute, organisation: string | undefined): number;
	/** Returns the priority by which an endpoint admits a request, or `undefined` if all requests of its service have the same. */
	tryGetAdmissionPriority(request: Pick<GatewayRequest, 'service' | 'priority'>): number | undefined;
	/** Returns the time since the configuration was last verified to be current. */
	getConfigurationAgeMs(now: Timestamp): Milliseconds;
	/** Returns whether a peer has a newer configuration that neither this gateway nor the store has. */
	isConfigurationOutdated(now: Timestamp): boolean;
	/** Returns whether a configuration and the lists that placements need have been read, so that requests can be checked. */
	canCheck(): boolean;
	/** Returns whether the current configuration and the list of endpoints are known, so that requests can be served. */
	isReady(now: Timestamp): boolean;
	getOpenRequestCount(): number;
	getColdCounts(now: Timestamp): ColdCounts;
	/** Returns the changes that recreate the open requests of this or another gateway, and for this one also what else it has learnt. */
	getSnapshot(gateway: GatewayName, now: Timestamp): readonly PeerChange[];
}>;

/** Share of the estimated client timeout within which the first event must be predicted to arrive. */
const maximumFirstEventShare = 0.7;
/** Maximum cost to other requests, in units of a late short request, at which a late prompt is still placed at once. */
const maximumInterferenceCost = 2;
/** A prompt is deferred only if more than this multiple of its predicted time to the first event remains. */
const deferralMarginFactor = 1.3;
/** Interval at which the placement of a deferred prompt is retried. */
const deferralIntervalMs: Milliseconds = 200;
/** Prefill time of all parts up to which a prompt passes more urgent ones that wait. */
const blockingPrefillMs: Milliseconds = 250;
/** Retry delay for callers when no endpoint is available. */
const noEndpointRetryMs: Milliseconds = 400;
/** Retry delay for callers until the evacuations have been read once. */
const unknownEvacuationsRetryMs: Milliseconds = 500;

/**
Returns whether to defer a prompt: it would miss its objective anyway, placing it now would delay many other requests,
and enough time remains to prefill it later.
*/
function isDeferred({route, arrivedAt, deadlineAt}: GatewayRequest, {firstEventMs, interferenceCost}: Placement, now: Timestamp): boolean {
	const latestFirstEventAt = Math.min(deadlineAt, arrivedAt + (getClientTimeoutEstimateMs(route) * maximumFirstEventShare));
	return firstEventMs > route.objectiveMs && interferenceCost > maximumInterferenceCost && now + (firstEventMs * deferralMarginFactor) < latestFirstEventAt;
}

/** Creates a gateway without configuration and endpoints. */
export function createGateway(settings: GatewaySettings): Gateway {
	const configuration = createConfigurationState(settings.configuration);
	const registry = createEndpointRegistry(settings.endpoints);
	const retryQuota = createRetryQuota(settings.retryQuota);
	const load = createLoadView();
	const getRank = createEndpointRanking(settings.name);
	const quarantine = createSegmentQuarantine({gateway: settings.name, getRank});
	const limits = createEndpointLimits();
	const restrictions = createPlacementRestrictions(settings);
	const shares = createColdShares(settings.name);
	const cold = settings.coldEndpoints === undefined
		? undefined
		: createColdEndpoints({settings: settings.coldEndpoints, shares, getTolerance: service => configuration.tryGet()?.services.get(service)?.coldTolerance});
	const workRouting = settings.isWorkAware
		? createWorkRouting({
			load,
			dataCentre: settings.dataCentre,
			random: createRandom(getHash(`${settings.name}/${settings.incarnation}`)),
			tryGetEngine: service => configuration.tryGet()?.services.get(service)?.engine,
		})
		: undefined;
	const organisationWork = createOrganisationWork();
	const waitingPrompts = createWaitingPrompts(organisationWork);
	const urgentRoom = createUrgentRoom();
	const requests = new Map<RequestKey, ForwardedRequest>();
	let urgencyLevels: Readonly<{configuration: ServingConfiguration | undefined; byService: ReadonlyMap<string, UrgencyLevels>}> = {configuration: undefined, byService: new Map()};
	let sendCount = 0;

	function getLevels(service: string): UrgencyLevels {
		const current = configuration.tryGet();
		if (urgencyLevels.configuration !== current) {
			urgencyLevels = {configuration: current, byService: current === undefined || !settings.isUrgencyAware ? new Map() : getUrgencyLevels(current)};
		}

		return urgencyLevels.byService.get(service) ?? singleLevel;
	}

	function refuse(failure: Failure): PlacementDecision {
		return {kind: 'refused', failure};
	}

	function getRequestCandidates(endpoints: readonly ListedEndpoint[], excluded: ReadonlySet<EndpointId>, now: Timestamp): readonly Candidate[] {
		return getCandidates(endpoints, excluded, id => ({load: load.getLoad(id, now), rank: getRank(id), isCold: cold?.isCold(id, now)}));
	}

	/** Returns the candidates that are not left to more urgent requests. */
	function getOpenCandidates(request: GatewayRequest, candidates: readonly Candidate[], now: Timestamp): readonly Candidate[] {
		const engine = configuration.tryGet()?.services.get(request.service)?.engine;
		return engine === undefined || request.prompt === undefined
			? candidates
			: urgentRoom.getOpenCandidates(engine, candidates, {
				service: request.service, promptTokens: request.prompt.promptTokens, urgency: {priority: request.priority, levels: getLevels(request.service)},
			}, now);
	}

	function findPlacement(request: GatewayRequest, candidates: readonly Candidate[], now: Timestamp): Placement | undefined {
		const engine = configuration.tryGet()?.services.get(request.service)?.engine;
		if (engine === undefined || request.prompt === undefined) {
			return workRouting === undefined ? findServicePlacement(candidates, settings.dataCentre) : workRouting.findServicePlacement(request, candidates, now);
		}

		return findPromptPlacement(engine, workRouting?.addPace(candidates, now) ?? candidates, {
			promptTokens: request.prompt.promptTokens,
			objectiveMs: request.route.objectiveMs,
			longestPauseMs: request.route.longestPauseMs,
			remainingMs: request.deadlineAt - now,
			dataCentre: settings.dataCentre,
			urgency: {priority: request.priority, levels: getLevels(request.service)},
		});
	}

	/** Returns the time until an endpoint may get another request by its limit, by the time that it has asked for, and while it is cold. */
	function getEndpointWaitMs(id: EndpointId, now: Timestamp): Milliseconds {
		return Math.max(limits.getWaitMs(id, now), registry.getRestMs(id, now), cold?.getWaitMs(id, now) ?? 0);
	}

	/** Returns the time until an endpoint that isn't excluded may get another request, at least the usual retry delay. */
	function getEndpointRetryMs(endpoints: readonly ListedEndpoint[], excluded: ReadonlySet<EndpointId>, now: Timestamp): Milliseconds {
		const waits = endpoints.filter(({id}) => !excluded.has(id)).map(({id}) => getEndpointWaitMs(id, now));
		return waits.length === 0 ? noEndpointRetryMs : Math.max(noEndpointRetryMs, Math.min(...waits));
	}

	function findOrganisation({organisation}: GatewayRequest): ServedOrganisation | undefined {
		return organisation === undefined ? undefined : configuration.tryGet()?.organisations.get(organisation);
	}

	/** Returns whether a prompt waits for more urgent ones. */
	function isHeldBack(request: GatewayRequest, {endpoint, firstEventMs, prefillMs, helpers}: Placement, now: Timestamp): boolean {
		const urgency = {priority: request.priority, levels: getLevels(request.service)};
		const engine = configuration.tryGet()?.services.get(request.service)?.engine;
		if (engine === undefined || !hasMoreUrgentLevel(urgency)) {
			return false;
		}

		const loads = [endpoint, ...helpers.map(helper => helper.endpoint)].map(({id}) => load.getLoad(id, now));
		// A prompt with little work takes no room that a waiting one needs.
		const isBehind = prefillMs * loads.length > blockingPrefillMs && waitingPrompts.hasMoreUrgent(request);
		return isWaitingForUrgent(request, {
			firstEventMs,
			interferenceCost: isBehind ? Number.POSITIVE_INFINITY : getUrgentInterferenceCost(engine, loads, prefillMs, urgency),
			ownWeight: getLatenessWeight(request.prompt?.promptTokens ?? 0),
		}, waitingPrompts.getRetryAt(now));
	}

	/** Adds a request to the prompts that wait. */
	function addWaiting(request: GatewayRequest, {firstEventMs, interferenceCost}: Pick<Placement, 'firstEventMs' | 'interferenceCost'>, now: Timestamp): PlacementDecision {
		const reports: readonly GatewayAction[] = waitingPrompts.add(request)
			? [{
				kind: 'reportDecision', key: request.key, decision: {
					kind: 'deferred', priority: request.priority, firstEventMs, interferenceCost,
				},
			}]
			: [];
		return {kind: 'deferred', untilAt: waitingPrompts.getRetryAt(now), reports};
	}

	function choosePlacement(request: GatewayRequest, excluded: ReadonlySet<EndpointId>, now: Timestamp): PlacementDecision {
		const quarantineCheck = quarantine.check(request.service, getTraits(request), now);
		if (quarantineCheck.kind === 'quarantined') {
			const {segment, retryAfterMs} = quarantineCheck;
			return refuse(createNotRunFailure(isWholeRequest(segment) ? 'requestQuarantined' : 'promptQuarantined', `segment ${segment}`, retryAfterMs));
		}

		const levels = getLevels(request.service);
		const organisation = findOrganisation(request);
		const available = restrictions.getPermitted(request, organisation, registry.getAvailable(request.service, now)).filter(({id}) => registry.getRestMs(id, now) === 0);
		const ready = available.some(({id}) => !excluded.has(id)) ? available : restrictions.getPermitted(request, organisation, registry.getListed(request.service, now));
		const endpoints = ready.filter(({id}) => getEndpointWaitMs(id, now) === 0);
		if (endpoints.length < ready.length) {
			cold?.recordChoice(ready, now);
		}

		const candidates = getRequestCandidates(endpoints, excluded, now);
		const openCandidates = getOpenCandidates(request, candidates, now);
		const placement = findPlacement(request, openCandidates, now);
		if (placement === undefined && openCandidates.length < candidates.length && canWaitForMemory(request, now)) {
			return addWaiting(request, {firstEventMs: 0, interferenceCost: 0}, now);
		}

		if (placement === undefined) {
			const restriction = ready.length === 0 ? restrictions.findRefusal(request, organisation, registry.getListed(request.service, now)) : undefined;
			return refuse(restriction ?? createNotRunFailure('overloaded', 'no endpoint is available', getSpreadRetryMs(getEndpointRetryMs(ready, excluded, now), request.requestId, levels)));
		}

		const isWaiting = isDeferred(request, placement, now);
		if (hasUrgency(levels) && (isWaiting || isHeldBack(request, placement, now))) {
			return addWaiting(request, placement, now);
		}

		if (isWaiting) {
			return {kind: 'deferred', untilAt: now + deferralIntervalMs, reports: []};
		}

		const maximumFirstEventMs = Math.min(request.deadlineAt - now, getClientTimeoutEstimateMs(request.route) * maximumFirstEventShare);
		if (placement.firstEventMs > maximumFirstEventMs) {
			return refuse(createNotRunFailure('deadlineUnreachable', undefined, getSpreadRetryMs(Math.ceil(Math.max(noEndpointRetryMs, placement.firstEventMs)), request.requestId, levels)));
		}

		if (hasUrgency(levels)) {
			waitingPrompts.remove(request.key);
			organisationWork.record(request.organisation ?? '', placement.prefillMs * (placement.helpers.length + 1), now);
		}

		const trialActions = quarantineCheck.kind === 'mayTry' ? quarantine.startTrial(quarantineCheck.segments, now) : [];
		return {
			kind: 'placed', placement, candidates: endpoints.length, trialActions,
		};
	}

	/** Applies a list of evacuations. The endpoints of the data centres whose evacuation has ended may be cold. */
	function applyEvacuations(list: EvacuationList, now: Timestamp): readonly GatewayAction[] {
		const changes = restrictions.applyEvacuations(list, now);
		if (changes.begun.length + changes.ended.length === 0) {
			return [];
		}

		return [
			{
				kind: 'reportEvacuations', changes, source: list.source, listAgeMs: now - list.readAt,
			},
			...changes.ended.flatMap(dataCentre => cold?.recordReturn(dataCentre, now) ?? []),
		];
	}

	/** Counts new requests of this or another gateway against the limits of their endpoints. */
	function recordStarts(changes: readonly PeerChange[], now: Timestamp): void {
		for (const change of changes) {
			if (change.kind === 'started') {
				limits.recordSend(change.work.endpoint, now);
			}
		}
	}

	/** Records the urgency of requests that have arrived at another gateway. */
	function recordPeerArrivals(changes: readonly PeerChange[], now: Timestamp): void {
		for (const change of changes) {
			const service = change.kind === 'started' ? registry.tryGetService(change.work.endpoint) : undefined;
			if (change.kind === 'started' && service !== undefined && hasUrgency(getLevels(service))) {
				urgentRoom.recordArrival({service, priority: change.work.priority}, now);
			}
		}
	}

	/** Counts the requests of a send: to its receiver, and the parts that reach its helpers. */
	function recordColdSends({endpoint, helpers}: OpenWork, now: Timestamp): void {
		cold?.recordSend(endpoint, now);
		for (const helper of helpers) {
			cold?.recordSend(helper.endpoint, now);
		}
	}

	/** Records that an endpoint says it is leaving, and tells the peers if this is news. */
	function recordLeaving({id, startedAt}: ListedEndpoint): readonly GatewayAction[] {
		const change = registry.recordLeaving(id, startedAt);
		return change === undefined
			? []
			: [{kind: 'reportEndpoint', change}, {kind: 'publishChange', change: {kind: 'endpointLeaving', endpoint: id, startedAt}}];
	}

	/** Returns the endpoints that have said they are leaving, for peers. */
	function getLeavingChanges(): readonly PeerChange[] {
		return registry.getLeaving().map(({id, startedAt}) => ({kind: 'endpointLeaving', endpoint: id, startedAt}));
	}

	/** Returns what this gateway has learnt, for peers that have just connected. */
	function getLearntChanges(now: Timestamp): readonly PeerChange[] {
		return [...quarantine.getSnapshot(now), ...limits.getSnapshot(), ...getVersionChanges(), ...getLeavingChanges(), ...cold?.getSnapshot(now) ?? []];
	}

	const context = {
		registry,
		retryQuota,
		memoryIdleMs: settings.memoryIdleMs,
		createSendId() {
			sendCount += 1;
			return sendCount;
		},
		createReservationId: (sendId: SendId, index: number) => `${settings.name}.${settings.incarnation}.${sendId}.${index}`,
		choosePlacement,
		isPermitted: (request: GatewayRequest, endpoint: ListedEndpoint) => restrictions.isPermitted(request, findOrganisation(request), endpoint),
		checkCredential: (request: GatewayRequest, now: Timestamp) => configuration.checkCredential(request.route, request.credential, now),
		mayRepeat: ({route, path}: GatewayRequest) => configuration.mayRepeat(route, path),
		recordBrokenSend: (request: GatewayRequest, endpoint: ListedEndpoint, now: Timestamp) =>
			[...quarantine.recordBrokenSend(endpoint, getTraits(request), now), ...cold?.recordLost(endpoint.id, now) ?? []],
		recordUnreachable: (endpoint: EndpointId, now: Timestamp): readonly GatewayAction[] =>
			[
				...(registry.recordUnreachable(endpoint, now) ? [{kind: 'publishChange', change: {kind: 'endpointUnreachable', endpoint}} as const] : []),
				...cold?.recordLost(endpoint, now) ?? [],
			],
		recordLeaving,
		recordLimit: limits.recordResponse,
		recordCold: (endpoint: EndpointId, remainingMs: Milliseconds | undefined, now: Timestamp) => cold?.recordResponse(endpoint, remainingMs, now) ?? [],
		recordCompletion: (request: GatewayRequest, now: Timestamp) => quarantine.recordCompletion(request.service, getTraits(request), now),
		recordUncertainCompletion: (request: GatewayRequest, endpoint: ListedEndpoint, now: Timestamp) => quarantine.recordUncertainCompletion(endpoint, getTraits(request), now),
		learnWork: (observation: WorkObservation, now: Timestamp): readonly GatewayAction[] => workRouting?.learn(observation, now) ?? [],
		recordWork(change: WorkChange, now: Timestamp) {
			load.applyChange(settings.name, change, now);
			recordStarts([change], now);
			if (change.kind === 'started') {
				recordColdSends(change.work, now);
			}
		},
	};

	function stepRequest(key: RequestKey, event: RequestEvent, now: Timestamp): readonly GatewayAction[] {
		const request = requests.get(key);
		if (request === undefined) {
			return [];
		}

		const actions = request.step(event, now);
		if (request.isEnded()) {
			requests.delete(key);
			waitingPrompts.remove(key);
		}

		return actions;
	}

	function stepDueRequests(now: Timestamp): readonly GatewayAction[] {
		const due = [...requests].filter(([, request]) => request.getWakeAt() <= now).map(([key]) => key);
		return waitingPrompts.rank(due, now).flatMap(key => stepRequest(key, {kind: 'timePassed'}, now));
	}

	/** Returns the version in force, for peers. */
	function getVersionChanges(): readonly PeerChange[] {
		const current = configuration.tryGet();
		return current === undefined ? [] : [{kind: 'configurationInForce', version: current.version}];
	}

	function applyPeerChange(gateway: GatewayName, change: PeerChange, now: Timestamp): readonly GatewayAction[] {
		switch (change.kind) {
			case 'reset':
			case 'started':
			case 'writing':
			case 'ended': {
				load.applyChange(gateway, change, now);
				return [];
			}

			case 'endpointUnreachable': {
				registry.recordUnreachable(change.endpoint, now);
				return cold?.recordLost(change.endpoint, now) ?? [];
			}

			case 'endpointLeaving': {
				const report = registry.recordLeaving(change.endpoint, change.startedAt);
				return report === undefined ? [] : [{kind: 'reportEndpoint', change: report}];
			}

			case 'configurationInForce': {
				return configuration.learnVersion(change.version, now) ? [{kind: 'readConfiguration'}] : [];
			}

			case 'paceObserved': {
				workRouting?.applyPeerChange(change, now);
				return [];
			}

			case 'limitChanged': {
				return limits.applyPeerChange(change, now);
			}

			case 'endpointCold': {
				return cold?.applyPeerChange(change, now) ?? [];
			}

			case 'serverCrashed': {
				return [...quarantine.applyPeerChange(change, now), ...cold?.recordLost(change.crash.endpoint, now) ?? []];
			}

			case 'segmentCleared':
			case 'segmentTried':
			case 'segmentQuarantined': {
				return quarantine.applyPeerChange(change, now);
			}
		}
	}

	/** Counts the requests that reach endpoints besides those that were counted when they were placed. */
	function recordControlRequest(action: GatewayAction, now: Timestamp): void {
		if (action.kind === 'reserveMemory' || action.kind === 'releaseMemory') {
			cold?.recordSend(action.reservation.endpoint.id, now);
		} else if (action.kind === 'probeEndpoint' || action.kind === 'checkEndpoint') {
			cold?.recordSend(action.endpoint.id, now);
		} else if (action.kind === 'send' && action.helpers.some(({reservationId}) => reservationId !== undefined)) {
			// Placed earlier, it is sent only now that memory is reserved.
			cold?.recordSend(action.endpoint.id, now);
		}
	}

	function step(event: GatewayEvent, now: Timestamp): readonly GatewayAction[] {
		const actions = stepEvent(event, now);
		if (cold !== undefined) {
			for (const action of actions) {
				recordControlRequest(action, now);
			}
		}

		return actions;
	}

	function stepEvent(event: GatewayEvent, now: Timestamp): readonly GatewayAction[] {
		switch (event.kind) {
			case 'requestArrived': {
				const {key} = event.request;
				if (hasUrgency(getLevels(event.request.service))) {
					urgentRoom.recordArrival(event.request, now);
				}

				requests.set(key, createForwardedRequest(event.request, context));
				return stepRequest(key, {kind: 'started'}, now);
			}

			case 'requestChanged': {
				return stepRequest(event.key, event.event, now);
			}

			case 'endpointsListed': {
				workRouting?.applyList(event.endpoints, now);
				return [
					...registry.applyList(event.endpoints, now).map((change): GatewayAction => ({kind: 'reportEndpoint', change})),
					...cold?.applyList(event.endpoints, now) ?? [],
				];
			}

			case 'endpointListFailed': {
				registry.recordListFailure();
				return [];
			}

			case 'storeRestored': {
				registry.recordRestore(now);
				restrictions.recordRestore(now);
				quarantine.recordRestore(now);
				configuration.recordRestore(now);
				return getVersionChanges().map((change): GatewayAction => ({kind: 'publishChange', change}));
			}

			case 'storeUnsettled': {
				configuration.recordRestore(now);
				return [];
			}

			case 'storeSettled': {
				configuration.recordSettled(now);
				return [];
			}

			case 'configurationVerified': {
				configuration.recordAnswer(event, now);
				return [];
			}

			case 'clockJumped': {
				configuration.expire();
				return [];
			}

			case 'peerChanged': {
				// The requests of a snapshot, which begins with a reset, were started earlier.
				if (event.changes[0]?.kind !== 'reset') {
					recordStarts(event.changes, now);
				}

				recordPeerArrivals(event.changes, now);
				return event.changes.flatMap(change => applyPeerChange(event.gateway, change, now));
			}

			case 'gatewayCountKnown': {
				retryQuota.setGatewayCount(event.count);
				quarantine.setGatewayCount(event.count);
				return [];
			}

			case 'gatewaysListed': {
				shares.recordGateways(event.names, now);
				return [];
			}

			case 'endpointColdStated': {
				return cold?.recordResponse(event.endpoint.id, event.remainingMs, now) ?? [];
			}

			case 'endpointLeaving': {
				return recordLeaving(event.endpoint);
			}

			case 'endpointResting': {
				registry.recordRest(event.endpoint.id, event.restMs, now);
				return [];
			}

			case 'endpointChecked': {
				return quarantine.applyCheck(event.endpoint, event.result, now);
			}

			case 'quarantinesListed': {
				return quarantine.applyRecords(event.records, now);
			}

			case 'evacuationsListed': {
				return applyEvacuations(event, now);
			}

			case 'crashesListed': {
				quarantine.applyCrashRecords(event.crashes, now);
				return [];
			}

			case 'graceEnded': {
				return [...requests.keys()].flatMap(key => stepRequest(key, {kind: 'graceEnded'}, now));
			}

			case 'timePassed': {
				return [...quarantine.handleTimePassed(now), ...stepDueRequests(now)];
			}
		}
	}

	function canCheck(): boolean {
		return configuration.tryGet() !== undefined && configuration.canCheckKeys() && registry.hasList() && restrictions.isKnown();
	}

	return {
		step,
		tryGetWakeAt() {
			let earliest = quarantine.getWakeAt();
			for (const request of requests.values()) {
				earliest = Math.min(earliest, request.getWakeAt());
			}

			return Number.isFinite(earliest) ? earliest : undefined;
		},
		checkRoute(host, path, credential, now) {
			return restrictions.isKnown()
				? configuration.checkRoute(host, path, credential, now)
				: {kind: 'refused', failure: createNotRunFailure('notReady', 'the evacuations are not known', unknownEvacuationsRetryMs)};
		},
		tryGetConfiguration: configuration.tryGet,
		getPriority: (route, organisation) => configuration.tryGet()?.organisations.get(organisation ?? '')?.priority ?? route.priority,
		tryGetAdmissionPriority: ({service, priority}) => tryGetAdmissionPriority({priority, levels: getLevels(service)}),
		getConfigurationAgeMs: configuration.getAgeMs,
		isConfigurationOutdated: configuration.isOutdated,
		canCheck,
		isReady: now => canCheck() && !configuration.isOutdated(now),
		getOpenRequestCount: () => requests.size,
		getColdCounts: now => cold?.getCounts(now) ?? {coldEndpoints: 0, heldRequests: 0},
		getSnapshot: (gateway, now) => [...load.getOpenWorkChanges(gateway), ...(gateway === settings.name ? getLearntChanges(now) : [])],
	};
}
