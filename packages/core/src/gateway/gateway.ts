/**
The decisions of a gateway: which requests it takes, where they go, and what their callers get.

The driver feeds events in and performs the actions that come out. Nothing here reads a clock or opens a socket, so that
a recorded list of events replays to the same actions.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {
	createConfigurationState, type ConfigurationStateSettings, type RouteGrant, type RouteRefusal,
} from './configuration-state.js';
import {createEndpointRanking} from './endpoint-ranking.js';
import {createEndpointRegistry, type EndpointRegistrySettings} from './endpoint-registry.js';
import type {
	EndpointId, GatewayRequest, ListedEndpoint, RequestKey, ServingConfiguration,
} from './gateway-types.js';
import {createLoadView, type GatewayName, type WorkChange} from './load-view.js';
import {
	findPromptPlacement, findServicePlacement, getCandidates, type Placement,
} from './placement.js';
import {getPatienceMs} from './placement-cost.js';
import type {
	GatewayEvent, RelayAction, RelayEvent, SendId,
} from './relay-types.js';
import {createRelayedRequest, type PlacementDecision, type RelayedRequest} from './relayed-request.js';
import {createSendBudget, type SendBudgetSettings} from './send-budget.js';

export type GatewaySettings = Readonly<{
	name: GatewayName;
	/** Names this life of the gateway's process. */
	incarnation: string;
	dataCentre: string;
	configuration: ConfigurationStateSettings;
	endpoints: EndpointRegistrySettings;
	budget: SendBudgetSettings;
}>;

export type Gateway = Readonly<{
	step(event: GatewayEvent, now: Timestamp): readonly RelayAction[];
	/** Returns when `timePassed` is due, or `undefined` while nothing is. */
	tryGetWakeAt(): Timestamp | undefined;
	/** Decides whether a request's head may pass. */
	checkRoute(host: string, path: string, credential: string | undefined, now: Timestamp): RouteGrant | RouteRefusal;
	tryGetConfiguration(): ServingConfiguration | undefined;
	/** Returns how long ago the configuration was known to be the newest. */
	getConfigurationAgeMs(now: Timestamp): Milliseconds;
	/** Returns whether requests can be served. */
	isReady(): boolean;
	getOpenRequestCount(): number;
	/** Returns the open work of a gateway, this one or another, as changes. */
	getWorks(gateway: GatewayName): readonly WorkChange[];
}>;

/** Share of a caller's patience beyond which a first event is predicted to come too late to be of use. */
const usedPatienceShare = 0.7;
/** Harm to others, in short requests that come late, up to which a late prompt is read at once. */
const maximumHarm = 2;
/** Part of its predicted time that a deferred prompt keeps in reserve. */
const deferralMargin = 1.3;
/** Pause between looks for a better moment. */
const deferralMs: Milliseconds = 200;
/** When a caller should come back that found no endpoint. */
const noEndpointRetryMs: Milliseconds = 400;

/**
Returns whether a prompt should wait: it comes late anyway, others would lose much by it now, and there is time to read it
later.
*/
function isDeferred({route, arrivedAt, deadlineAt}: GatewayRequest, {firstEventMs, harm}: Placement, now: Timestamp): boolean {
	const latestFirstEventAt = Math.min(deadlineAt, arrivedAt + (getPatienceMs(route) * usedPatienceShare));
	return firstEventMs > route.objectiveMs && harm > maximumHarm && now + (firstEventMs * deferralMargin) < latestFirstEventAt;
}

/** Creates a gateway that knows nothing yet. */
export function createGateway(settings: GatewaySettings): Gateway {
	const configuration = createConfigurationState(settings.configuration);
	const registry = createEndpointRegistry(settings.endpoints);
	const budget = createSendBudget(settings.budget);
	const load = createLoadView();
	const getRank = createEndpointRanking(settings.name);
	const requests = new Map<RequestKey, RelayedRequest>();
	let sendCount = 0;

	function refuse(failure: Failure): PlacementDecision {
		return {kind: 'refused', failure};
	}

	function findPlacement(request: GatewayRequest, endpoints: readonly ListedEndpoint[], excluded: ReadonlySet<EndpointId>, now: Timestamp): Placement | undefined {
		const candidates = getCandidates(endpoints, excluded, id => ({load: load.getLoad(id, now), rank: getRank(id)}));
		const engine = configuration.tryGet()?.services.get(request.service)?.engine;
		if (engine === undefined || request.prompt === undefined) {
			return findServicePlacement(candidates, settings.dataCentre);
		}

		return findPromptPlacement(engine, candidates, {
			promptTokens: request.prompt.promptTokens,
			objectiveMs: request.route.objectiveMs,
			longestPauseMs: request.route.longestPauseMs,
			remainingMs: request.deadlineAt - now,
			dataCentre: settings.dataCentre,
		});
	}

	function choosePlacement(request: GatewayRequest, excluded: ReadonlySet<EndpointId>, now: Timestamp): PlacementDecision {
		const available = registry.getAvailable(request.service, now);
		const endpoints = available.some(({id}) => !excluded.has(id)) ? available : registry.getListed(request.service);
		const placement = findPlacement(request, endpoints, excluded, now);
		if (placement === undefined) {
			return refuse(createNotRunFailure('overloaded', 'no endpoint is available', noEndpointRetryMs));
		}

		if (isDeferred(request, placement, now)) {
			return {kind: 'deferred', untilAt: now + deferralMs};
		}

		const usefulMs = Math.min(request.deadlineAt - now, getPatienceMs(request.route) * usedPatienceShare);
		if (placement.firstEventMs > usefulMs) {
			return refuse(createNotRunFailure('deadlineUnreachable', undefined, Math.ceil(Math.max(noEndpointRetryMs, placement.firstEventMs))));
		}

		return {kind: 'placed', placement, candidates: endpoints.length};
	}

	const host = {
		registry,
		budget,
		createSendId() {
			sendCount += 1;
			return sendCount;
		},
		createReservationId: (sendId: SendId, index: number) => `${settings.name}.${settings.incarnation}.${sendId}.${index}`,
		choosePlacement,
		checkCredential: (request: GatewayRequest, now: Timestamp) => configuration.checkCredential(request.route, request.credential, now),
		recordWork(change: WorkChange, now: Timestamp) {
			load.applyChange(settings.name, change, now);
		},
	};

	function stepRequest(key: RequestKey, event: RelayEvent, now: Timestamp): readonly RelayAction[] {
		const request = requests.get(key);
		if (request === undefined) {
			return [];
		}

		const actions = request.step(event, now);
		if (request.isEnded()) {
			requests.delete(key);
		}

		return actions;
	}

	function stepDueRequests(now: Timestamp): readonly RelayAction[] {
		const due = [...requests].filter(([, request]) => request.getWakeAt() <= now);
		return due.flatMap(([key]) => stepRequest(key, {kind: 'timePassed'}, now));
	}

	function step(event: GatewayEvent, now: Timestamp): readonly RelayAction[] {
		switch (event.kind) {
			case 'requestArrived': {
				const {key} = event.request;
				requests.set(key, createRelayedRequest(event.request, host));
				return stepRequest(key, {kind: 'started'}, now);
			}

			case 'requestChanged': {
				return stepRequest(event.key, event.event, now);
			}

			case 'endpointsListed': {
				return registry.applyList(event.endpoints, now).map((news): RelayAction => ({kind: 'reportEndpoint', news}));
			}

			case 'endpointListFailed': {
				registry.recordListFailure();
				return [];
			}

			case 'configurationVerified': {
				configuration.recordVerified(event.configuration, event.verifiedAt);
				return [];
			}

			case 'clockJumped': {
				configuration.expire();
				return [];
			}

			case 'peerWorkChanged': {
				for (const change of event.changes) {
					load.applyChange(event.gateway, change, now);
				}

				return [];
			}

			case 'gatewayCountKnown': {
				budget.setGatewayCount(event.count);
				return [];
			}

			case 'timePassed': {
				return stepDueRequests(now);
			}
		}
	}

	return {
		step,
		tryGetWakeAt() {
			let earliest = Number.POSITIVE_INFINITY;
			for (const request of requests.values()) {
				earliest = Math.min(earliest, request.getWakeAt());
			}

			return Number.isFinite(earliest) ? earliest : undefined;
		},
		checkRoute: configuration.checkRoute,
		tryGetConfiguration: configuration.tryGet,
		getConfigurationAgeMs: configuration.getAgeMs,
		isReady: () => configuration.tryGet() !== undefined && registry.hasList(),
		getOpenRequestCount: () => requests.size,
		getWorks: load.getWorks,
	};
}
