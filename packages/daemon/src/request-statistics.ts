/**
Measures each request from arrival to end, for logs, metrics and the burn rate of the service-level objectives.
*/
import {createBurnCounter, getLengthBucket, type BurnCount} from '@currantcross/core/burn';
import type {Configuration} from '@currantcross/core/configuration';
import type {ArrivedRequest} from '@currantcross/core/entry-types';
import {getErrorDefinition, type Failure} from '@currantcross/core/errors';
import type {RequestListener} from '@currantcross/caller/request-listener';
import type {Logger} from './logger.js';
import type {Metrics} from './metrics.js';

export type RequestStatistics = Readonly<{
	/** Wraps a listener so that the events of its request are measured. */
	observe(request: ArrivedRequest, listener: RequestListener): RequestListener;
	getCounts(): readonly BurnCount[];
}>;

/** Creates the statistics, with all counts at zero. */
export function createRequestStatistics(configuration: Configuration, metrics: Metrics, logger: Logger): RequestStatistics {
	const burnCounter = createBurnCounter();

	function recordBurn(request: ArrivedRequest, firstTokenMs: number | undefined): void {
		const organisation = configuration.findOrganisationByKey(request.keySha256);
		const route = configuration.tryGetRoute(request.route);
		if (organisation === undefined || route === undefined) {
			return;
		}

		burnCounter.record({
			route: request.route,
			organisation: organisation.name,
			bucket: request.work.kind === 'prompt' ? getLengthBucket(request.work.promptTokens) : 'service',
			isGood: firstTokenMs !== undefined && firstTokenMs <= route.objective.firstTokenMs,
		}, performance.now());
	}

	function observe(request: ArrivedRequest, listener: RequestListener): RequestListener {
		const startedAt = performance.now();
		let firstTokenMs: number | undefined;

		function recordEnd(outcome: string): void {
			const durationMs = performance.now() - startedAt;
			metrics.recordRequest(outcome, durationMs);
			logger.info('requestEnded', {
				requestId: request.requestId,
				route: request.route,
				outcome,
				durationMs: Math.round(durationMs),
				firstTokenMs: firstTokenMs === undefined ? undefined : Math.round(firstTokenMs),
			});
		}

		function recordFailure(failure: Failure): void {
			recordEnd(failure.kind);
			// Errors that the caller caused do not count against the service-level objective.
			if (getErrorDefinition(failure.kind).category !== 'caller') {
				recordBurn(request, undefined);
			}
		}

		return {
			receiveTokens(tokens) {
				if (firstTokenMs === undefined) {
					firstTokenMs = performance.now() - startedAt;
					metrics.recordFirstToken(firstTokenMs);
				}

				metrics.recordTokens(tokens.length);
				listener.receiveTokens(tokens);
			},
			complete(summary) {
				recordEnd('completed');
				recordBurn(request, firstTokenMs);
				listener.complete(summary);
			},
			answer(answer, server, isReplay) {
				recordEnd('answered');
				recordBurn(request, performance.now() - startedAt);
				listener.answer(answer, server, isReplay);
			},
			fail(failure) {
				recordFailure(failure);
				listener.fail(failure);
			},
		};
	}

	return {observe, getCounts: () => burnCounter.getCounts(performance.now())};
}
