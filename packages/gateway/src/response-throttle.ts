/**
Stops reading streams from their endpoints while their callers read too slowly, as `response-flow.ts` decides, and tells their requests.
*/
import {createResponseFlow} from '@currantcross/core/gateway/response-flow';
import type {RequestEvent, SendId} from '@currantcross/core/gateway/gateway-events';
import type {RequestKey} from '@currantcross/core/gateway/gateway-types';
import type {Milliseconds} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {CallerExchange} from './caller-exchange.js';
import type {EndpointClient} from './endpoint-client.js';
import type {GatewayMetrics} from './metrics.js';

/** A send whose response is written to its caller as it arrives. */
export type ThrottledSend = Readonly<{key: RequestKey; sendId: SendId; requestId: string | undefined; exchange: CallerExchange}>;

export type ResponseThrottle = Readonly<{
	/** Adds a send whose response begins. */
	start(send: ThrottledSend): void;
	/** Pauses or resumes a send by what its caller has left unread. */
	update(sendId: SendId): void;
	/** Removes a send that has ended or is cancelled. Repeated calls have no effect. */
	end(sendId: SendId): void;
}>;

export type ResponseThrottleHost = Readonly<{
	client: Pick<EndpointClient, 'pause' | 'resume'>;
	callerMemoryLimit: number;
	logger: Pick<Logger, 'info'>;
	metrics: Pick<GatewayMetrics, 'recordResponsePause'>;
	dispatch(key: RequestKey, event: RequestEvent): void;
}>;

/** Time from which on a pause is logged. */
const loggedPauseMs: Milliseconds = 1000;

/** Creates a throttle without sends. */
export function createResponseThrottle(host: ResponseThrottleHost): ResponseThrottle {
	const flow = createResponseFlow<SendId>(host.callerMemoryLimit);
	const sends = new Map<SendId, ThrottledSend>();

	function recordPause({requestId, sendId, exchange}: ThrottledSend, pausedMs: Milliseconds, outcome: 'resumed' | 'ended'): void {
		exchange.setPaused(false);
		host.metrics.recordResponsePause(pausedMs);
		if (pausedMs >= loggedPauseMs) {
			host.logger.info('responsePaused', {
				request: requestId, sendId, pausedMs: Math.round(pausedMs), outcome,
			});
		}
	}

	function update(sendId: SendId): void {
		const send = sends.get(sendId);
		if (send === undefined) {
			return;
		}

		const {key, exchange} = send;
		const change = flow.setUnread(sendId, exchange.getUnreadBytes(), performance.now());
		switch (change.kind) {
			case 'unchanged': {
				return;
			}

			case 'paused': {
				host.client.pause(sendId);
				exchange.setPaused(true);
				host.dispatch(key, {kind: 'readingPaused', sendId});
				return;
			}

			case 'resumed': {
				recordPause(send, change.pausedMs, 'resumed');
				host.client.resume(sendId);
				host.dispatch(key, {kind: 'readingResumed', sendId});
			}
		}
	}

	return {
		start(send) {
			const {sendId, exchange} = send;
			sends.set(sendId, send);
			exchange.setDrainHandler(() => {
				update(sendId);
			});
			update(sendId);
		},
		update,
		end(sendId) {
			const send = sends.get(sendId);
			const pausedMs = flow.remove(sendId, performance.now());
			sends.delete(sendId);
			if (send !== undefined && pausedMs !== undefined) {
				recordPause(send, pausedMs, 'ended');
			}
		},
	};
}
