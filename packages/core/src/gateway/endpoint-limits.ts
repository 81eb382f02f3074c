/**
Limits in requests a second that endpoints name in their responses, for all gateways together.

Each gateway counts the requests of all gateways in a leaky bucket for each limited endpoint, and places none there while the
bucket is full. Gateways tell each other of limits. Requests that several gateways place within the delay of their exchange may
overfill a bucket, which then stays full until the excess has drained.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {GatewayAction} from './gateway-events.js';
import type {EndpointId} from './gateway-types.js';

/** A limit, or its end. */
export type LimitChange = Readonly<{kind: 'limitChanged'; endpoint: EndpointId; requestsPerSecond: number | undefined}>;

export type EndpointLimits = Readonly<{
	/** Applies the limit that an endpoint names in a response, `undefined` if it names none. */
	recordResponse(endpoint: EndpointId, requestsPerSecond: number | undefined, now: Timestamp): readonly GatewayAction[];
	applyPeerChange(change: LimitChange, now: Timestamp): readonly GatewayAction[];
	/** Counts a request that this or another gateway has sent to an endpoint. */
	recordSend(endpoint: EndpointId, now: Timestamp): void;
	/** Returns how long it takes until an endpoint may get another request, 0 if it may now. */
	getWaitMs(endpoint: EndpointId, now: Timestamp): Milliseconds;
	/** Returns all limits, for a peer that has just connected. */
	getSnapshot(): readonly LimitChange[];
}>;

type LimitedEndpoint = {
	readonly requestsPerSecond: number;
	/** Requests in the bucket at `levelAt`. */
	level: number;
	levelAt: Timestamp;
};

/** Rate at which an endpoint with a lower limit gets requests, whose responses show whether its limit still applies. */
const minimumRequestsPerSecond = 0.2;
/** Requests that the bucket holds, as the time in which the limit allows them; at least one. */
const bucketMs: Milliseconds = 500;
const maximumLimitedEndpoints = 20_000;
const millisecondsPerSecond = 1000;

/** Creates a record without limits. */
export function createEndpointLimits(): EndpointLimits {
	const limitedEndpoints = createBoundedCache<EndpointId, LimitedEndpoint>(maximumLimitedEndpoints);

	function getRate({requestsPerSecond}: LimitedEndpoint): number {
		return Math.max(minimumRequestsPerSecond, requestsPerSecond) / millisecondsPerSecond;
	}

	function getLevel(limited: LimitedEndpoint, now: Timestamp): number {
		return Math.max(0, limited.level - ((now - limited.levelAt) * getRate(limited)));
	}

	function apply(endpoint: EndpointId, requestsPerSecond: number | undefined, now: Timestamp): boolean {
		const known = limitedEndpoints.get(endpoint);
		if (known?.requestsPerSecond === requestsPerSecond) {
			return false;
		}

		if (requestsPerSecond === undefined) {
			limitedEndpoints.delete(endpoint);
		} else {
			// Earlier requests were not counted, so the bucket starts full.
			limitedEndpoints.set(endpoint, {requestsPerSecond, level: known === undefined ? 1 : getLevel(known, now), levelAt: now});
		}

		return true;
	}

	return {
		recordResponse(endpoint, requestsPerSecond, now) {
			return apply(endpoint, requestsPerSecond, now)
				? [
					{kind: 'reportLimit', report: {endpoint, requestsPerSecond, source: 'response'}},
					{kind: 'publishChange', change: {kind: 'limitChanged', endpoint, requestsPerSecond}},
				]
				: [];
		},
		applyPeerChange({endpoint, requestsPerSecond}, now) {
			return apply(endpoint, requestsPerSecond, now) ? [{kind: 'reportLimit', report: {endpoint, requestsPerSecond, source: 'peer'}}] : [];
		},
		recordSend(endpoint, now) {
			const limited = limitedEndpoints.get(endpoint);
			if (limited !== undefined) {
				limited.level = getLevel(limited, now) + 1;
				limited.levelAt = now;
			}
		},
		getWaitMs(endpoint, now) {
			const limited = limitedEndpoints.get(endpoint);
			if (limited === undefined) {
				return 0;
			}

			const rate = getRate(limited);
			const capacity = Math.max(1, rate * bucketMs);
			return Math.max(0, (getLevel(limited, now) + 1 - capacity) / rate);
		},
		getSnapshot: () => [...limitedEndpoints].map(([endpoint, {requestsPerSecond}]) => ({kind: 'limitChanged', endpoint, requestsPerSecond})),
	};
}
