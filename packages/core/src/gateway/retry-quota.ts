/**
Limits retries, which are the sends of a request after its first, so that a fault doesn't multiply the load.

The limit applies to all gateways together over a sliding window: a ratio of the requests plus a fixed number. Each
gateway stays within the ratio of its own requests and its share of the fixed number.
*/
import type {Milliseconds, Timestamp} from '../types.js';

export type RetryQuotaSettings = Readonly<{
	/** Number of retries per request. */
	ratio: number;
	/** Additional retries per window of all gateways together. */
	fixedSends: number;
	windowMs: Milliseconds;
	/** Share of the limit that is used, so that gateways with a stale gateway count stay within the limit together. */
	usedShare: number;
}>;

export type RetryQuota = Readonly<{
	recordRequest(service: string, now: Timestamp): void;
	/** Takes one retry from the service's quota; returns false if none is left. */
	tryTake(service: string, now: Timestamp): boolean;
	/** Sets the number of gateways that share the fixed number of retries. */
	setGatewayCount(count: number): void;
}>;

/** Times of the requests and retries in the current window. */
type WindowTimes = {readonly requests: Timestamp[]; readonly retries: Timestamp[]};

function removeExpired(timestamps: Timestamp[], before: Timestamp): void {
	let expiredCount = 0;
	while (expiredCount < timestamps.length && (timestamps[expiredCount] ?? 0) < before) {
		expiredCount += 1;
	}

	timestamps.splice(0, expiredCount);
}

/** Creates a quota without recorded requests. */
export function createRetryQuota(settings: RetryQuotaSettings): RetryQuota {
	const timesByService = new Map<string, WindowTimes>();
	let gatewayCount = 1;

	function getTimes(service: string, now: Timestamp): WindowTimes {
		const times = timesByService.get(service) ?? {requests: [], retries: []};
		timesByService.set(service, times);
		removeExpired(times.requests, now - settings.windowMs);
		removeExpired(times.retries, now - settings.windowMs);
		return times;
	}

	return {
		recordRequest(service, now) {
			getTimes(service, now).requests.push(now);
		},
		tryTake(service, now) {
			const times = getTimes(service, now);
			const limit = ((times.requests.length * settings.ratio) + (settings.fixedSends / gatewayCount)) * settings.usedShare;
			if (times.retries.length + 1 > limit) {
				return false;
			}

			times.retries.push(now);
			return true;
		},
		setGatewayCount(count) {
			gatewayCount = Math.max(1, count);
		},
	};
}
