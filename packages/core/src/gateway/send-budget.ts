/**
Limits sends beyond the first of each request, so that a fault does not multiply the load.

The limit holds for all gateways together over a sliding window: a share of the requests plus a fixed number. Each
gateway keeps to the share of its own requests and to its part of the fixed number.
*/
import type {Milliseconds, Timestamp} from '../types.js';

export type SendBudgetSettings = Readonly<{
	/** Further sends that each request allows. */
	ratio: number;
	/** Further sends that all gateways together may make in a window besides. */
	fixedSends: number;
	windowMs: Milliseconds;
	/** Part of the limit that is used, so that gateways with old knowledge of each other stay within it. */
	usedShare: number;
}>;

export type SendBudget = Readonly<{
	recordRequest(service: string, now: Timestamp): void;
	/** Takes one further send to the service; returns false when none is left. */
	trySpend(service: string, now: Timestamp): boolean;
	/** Sets how many gateways share the fixed number. */
	setGatewayCount(count: number): void;
}>;

type Counts = {readonly requests: Timestamp[]; readonly sends: Timestamp[]};

function expire(times: Timestamp[], before: Timestamp): void {
	let expired = 0;
	while (expired < times.length && (times[expired] ?? 0) < before) {
		expired += 1;
	}

	times.splice(0, expired);
}

/** Creates a budget without requests. */
export function createSendBudget(settings: SendBudgetSettings): SendBudget {
	const countsByService = new Map<string, Counts>();
	let gatewayCount = 1;

	function getCounts(service: string, now: Timestamp): Counts {
		const counts = countsByService.get(service) ?? {requests: [], sends: []};
		countsByService.set(service, counts);
		expire(counts.requests, now - settings.windowMs);
		expire(counts.sends, now - settings.windowMs);
		return counts;
	}

	return {
		recordRequest(service, now) {
			getCounts(service, now).requests.push(now);
		},
		trySpend(service, now) {
			const counts = getCounts(service, now);
			const limit = ((counts.requests.length * settings.ratio) + (settings.fixedSends / gatewayCount)) * settings.usedShare;
			if (counts.sends.length + 1 > limit) {
				return false;
			}

			counts.sends.push(now);
			return true;
		},
		setGatewayCount(count) {
			gatewayCount = Math.max(1, count);
		},
	};
}
