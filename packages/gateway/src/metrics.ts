/**
Counters and latency histograms in the Prometheus text format, and the HTTP server for metrics and readiness checks.
*/
import http, {type Server} from 'node:http';
import type {ArrivalDelays} from '@currantcross/core/arrival-delays';
import type {ColdCounts} from '@currantcross/core/gateway/cold-endpoints';
import {listen} from '@currantcross/core/listen';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {SocketAddress} from './settings.js';

export type GatewayMetrics = Readonly<{
	recordRequest(outcome: string, durationMs: number): void;
	recordFirstEvent(durationMs: number): void;
	recordSend(result: string): void;
	/** Counts a prompt that waits for more urgent ones. */
	recordDeferral(priority: number): void;
	/** Records how long a request may have waited before it was handled, if it has. */
	recordDelays(delays: ArrivalDelays): void;
	/** Records by how much the event loop was late. */
	recordLoopDelay(delayMs: number): void;
	recordPlatformCall(call: string, outcome: string): void;
	/** Records that the platform's store has been restored from a copy. */
	recordStoreRestore(): void;
	/** Counts entries of a list that can't be used. */
	recordUnusableEntries(list: string, count: number): void;
	/** Records that a request was refused, or a connection closed, because of a bound on what callers make the gateway hold. */
	recordCallerBound(bound: string): void;
	/** Records for how long a response was not read from its endpoint, since its caller did not read it. */
	recordResponsePause(durationMs: number): void;
	/** Records a request that arrived before it could be checked, by how it fared. */
	recordEarlyRequest(outcome: string): void;
	/** Records a query to the relay: whether it was answered in time, and the time that requests waited for it. */
	recordQuery(outcome: string, durationMs: number): void;
	/** Records a batch of the exchange that was received. */
	recordBatch(scope: string, changeCount: number): void;
	/** Records how many evacuations of data centres have begun and ended. */
	recordEvacuations(begun: number, ended: number): void;
	/** Records the predicted and the observed time of a response. */
	recordTiming(route: string, predictedMs: number, observedMs: number): void;
	/** Records an observation of the pace of endpoints, and the number of endpoints of which the other gateways are told. */
	recordPaceObservation(source: string, told: number): void;
	getText(): Promise<string>;
}>;

const millisecondsPerSecond = 1000;
/** Priority that stands for all less urgent ones too, which bounds the number of labels. */
const maximumLabelledPriority = 9;

/** Histogram bounds in seconds; they cover the latency objectives and timeouts of short and long prompts. */
const durationBucketsS = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 5, 10, 15];

const queryBucketsS = [0.001, 0.002, 0.005, 0.01, 0.025, 0.1];

/** Shorter delays of requests are ordinary. */
const minimumRecordedDelayMs = 10;
const loopDelayBucketsS = [0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Number of routes whose timings are told apart; those beyond are counted as `other`. */
const maximumLabelledRoutes = 50;

/** Creates the metrics of a gateway in a registry of their own. */
export function createGatewayMetrics(getOpenRequestCount: () => number, getColdCounts: () => ColdCounts): GatewayMetrics {
	const registry = new Registry();
	const registers = [registry];
	const requests = new Histogram({
		name: 'currantcross_request_seconds', help: 'Time from arrival to the end of the answer', labelNames: ['outcome'], buckets: durationBucketsS, registers,
	});
	const firstEvents = new Histogram({
		name: 'currantcross_first_event_seconds', help: 'Time from arrival to the first event', buckets: durationBucketsS, registers,
	});
	const sends = new Counter({
		name: 'currantcross_sends_total', help: 'Sends to endpoints by how they ended', labelNames: ['result'], registers,
	});
	const deferrals = new Counter({
		name: 'currantcross_deferred_requests_total', help: 'Prompts that waited for room, by priority', labelNames: ['priority'], registers,
	});
	const loopDelays = new Histogram({
		name: 'currantcross_gateway_loop_delay_seconds', help: 'Time by which the event loop was late, ten times a second', buckets: loopDelayBucketsS, registers,
	});
	const requestDelays = new Histogram({
		name: 'currantcross_request_delay_seconds', help: 'Longest time for which a delayed request can have waited before it was handled, by what delayed it', labelNames: ['cause'], buckets: loopDelayBucketsS, registers,
	});
	const platformCalls = new Counter({
		name: 'currantcross_platform_calls_total', help: 'Calls to the platform', labelNames: ['call', 'outcome'], registers,
	});
	const storeRestores = new Counter({
		name: 'currantcross_store_restores_total', help: 'Restores of the platform\'s store from a copy that were noticed', registers,
	});
	const unusableEntries = new Counter({
		name: 'currantcross_unusable_entries_total', help: 'Entries found in the lists of the store that can not be used', labelNames: ['list'], registers,
	});
	const callerBounds = new Counter({
		name: 'currantcross_caller_bounds_total', help: 'Requests refused and connections closed because of what callers made the gateway hold', labelNames: ['bound'], registers,
	});
	const responsePauses = new Histogram({
		name: 'currantcross_response_pause_seconds', help: 'Times for which responses were not read from their endpoints since their callers did not read them', buckets: durationBucketsS, registers,
	});
	const earlyRequests = new Counter({
		name: 'currantcross_early_requests_total', help: 'Requests that were to be held until they could be checked, by how they fared', labelNames: ['outcome'], registers,
	});
	const queries = new Histogram({
		name: 'currantcross_relay_query_seconds', help: 'Time for which requests wait for the latest news of other gateways', labelNames: ['outcome'], buckets: queryBucketsS, registers,
	});
	const batches = new Counter({
		name: 'currantcross_exchange_batches_total', help: 'Batches of other gateways\' news that were received, by scope of the stream', labelNames: ['scope'], registers,
	});
	const changes = new Counter({
		name: 'currantcross_exchange_changes_total', help: 'Changes received in these batches', labelNames: ['scope'], registers,
	});
	const evacuations = new Counter({
		name: 'currantcross_evacuations_total', help: 'Evacuations of data centres that were learnt of, and their ends', labelNames: ['change'], registers,
	});
	const timings = {
		predicted: new Counter({
			name: 'currantcross_predicted_response_seconds_total', help: 'Predicted times of the responses whose time was predicted', labelNames: ['route'], registers,
		}),
		observed: new Counter({
			name: 'currantcross_observed_response_seconds_total', help: 'Observed times of these responses', labelNames: ['route'], registers,
		}),
		error: new Counter({
			name: 'currantcross_response_prediction_error_seconds_total', help: 'Differences between both, without sign', labelNames: ['route'], registers,
		}),
		count: new Counter({
			name: 'currantcross_predicted_responses_total', help: 'Responses whose time was predicted', labelNames: ['route'], registers,
		}),
	};
	const paceObservations = new Counter({
		name: 'currantcross_pace_observations_total', help: 'Observations of the pace of endpoints', labelNames: ['source'], registers,
	});
	const paceMessages = new Counter({
		name: 'currantcross_pace_messages_total', help: 'Messages to the other gateways on the pace of an endpoint', labelNames: ['source'], registers,
	});
	const labelledRoutes = new Set<string>();

	function getRouteLabel(route: string): string {
		if (labelledRoutes.size < maximumLabelledRoutes) {
			labelledRoutes.add(route);
		}

		return labelledRoutes.has(route) ? route : 'other';
	}

	registry.registerMetric(new Gauge({
		name: 'currantcross_open_requests',
		help: 'Requests that are open',
		registers: [],
		collect() {
			this.set(getOpenRequestCount());
		},
	}));
	registry.registerMetric(new Gauge({
		name: 'currantcross_cold_endpoints',
		help: 'Endpoints that are cold',
		registers: [],
		collect() {
			this.set(getColdCounts().coldEndpoints);
		},
	}));
	registry.registerMetric(new Counter({
		name: 'currantcross_cold_held_total',
		help: 'Placements for which a cold endpoint had no room',
		registers: [],
		collect() {
			this.reset();
			this.inc(getColdCounts().heldRequests);
		},
	}));
	return {
		recordRequest(outcome, durationMs) {
			requests.observe({outcome}, durationMs / millisecondsPerSecond);
		},
		recordFirstEvent(durationMs) {
			firstEvents.observe(durationMs / millisecondsPerSecond);
		},
		recordSend(result) {
			sends.inc({result});
		},
		recordDeferral(priority) {
			deferrals.inc({priority: Math.max(0, Math.min(maximumLabelledPriority, Math.round(priority)))});
		},
		recordDelays({acceptMs, heldMs, unreadMs}) {
			for (const [cause, delayMs] of Object.entries({accept: acceptMs, hold: heldMs, read: unreadMs})) {
				if (delayMs >= minimumRecordedDelayMs) {
					requestDelays.observe({cause}, delayMs / millisecondsPerSecond);
				}
			}
		},
		recordLoopDelay(delayMs) {
			loopDelays.observe(delayMs / millisecondsPerSecond);
		},
		recordPlatformCall(call, outcome) {
			platformCalls.inc({call, outcome});
		},
		recordStoreRestore() {
			storeRestores.inc();
		},
		recordUnusableEntries(list, count) {
			unusableEntries.inc({list}, count);
		},
		recordCallerBound(bound) {
			callerBounds.inc({bound});
		},
		recordResponsePause(durationMs) {
			responsePauses.observe(durationMs / millisecondsPerSecond);
		},
		recordEarlyRequest(outcome) {
			earlyRequests.inc({outcome});
		},
		recordQuery(outcome, durationMs) {
			queries.observe({outcome}, durationMs / millisecondsPerSecond);
		},
		recordBatch(scope, changeCount) {
			batches.inc({scope});
			changes.inc({scope}, changeCount);
		},
		recordEvacuations(begun, ended) {
			evacuations.inc({change: 'begun'}, begun);
			evacuations.inc({change: 'ended'}, ended);
		},
		recordTiming(routeName, predictedMs, observedMs) {
			const route = getRouteLabel(routeName);
			timings.predicted.inc({route}, predictedMs / millisecondsPerSecond);
			timings.observed.inc({route}, observedMs / millisecondsPerSecond);
			timings.error.inc({route}, Math.abs(observedMs - predictedMs) / millisecondsPerSecond);
			timings.count.inc({route});
		},
		recordPaceObservation(source, told) {
			paceObservations.inc({source});
			paceMessages.inc({source}, told);
		},
		getText: async () => registry.metrics(),
	};
}

/** Starts an HTTP server that answers every request with the status and text from `getResponse`. */
export async function startStatusServer(
	address: SocketAddress,
	getResponse: () => Promise<Readonly<{status: number; text: string}>>,
): Promise<Server> {
	const server = http.createServer((message, response) => {
		message.resume();
		void getResponse().then(({status, text}) => {
			response.writeHead(status, {'content-type': 'text/plain'});
			response.end(text);
		});
	});
	await listen(server, address);
	return server;
}
