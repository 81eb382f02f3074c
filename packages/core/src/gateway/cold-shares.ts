/**
The share of each gateway in what a cold endpoint takes from all gateways together.

A gateway decides alone, by the names of the gateways that it knows. It counts on more gateways than it knows by a margin, and
takes the same whole number of requests in each second as every other one. What the division leaves goes to the gateways
that rank first for the endpoint by rendezvous hashing; if there are more gateways than requests, these are the only ones
that use the endpoint.

All shares together stay within the limit while each gateway lacks at most as many of the others as its margin. A gateway that
ranks R-th among all of them sees itself at least at R less its margin, so that one whose true rank is beyond the remainder
never takes a part of it. Names that no longer exist only make the shares smaller.
*/
import type {Milliseconds, Timestamp} from '../types.js';
import {getHash, getPairHash} from './endpoint-ranking.js';
import type {EndpointId} from './gateway-types.js';
import type {GatewayName} from './load-view.js';

export type ColdShares = Readonly<{
	/** Records the names of all gateways that are listed; this one is known without that. */
	recordGateways(names: readonly GatewayName[], now: Timestamp): void;
	/** Returns how many of the `limit` requests that an endpoint takes within a window are this gateway's; 0 while it doesn't know the others. */
	getShare(endpoint: EndpointId, limit: number, now: Timestamp): number;
	/** Returns whether the gateway is among the few that rank first for an endpoint and tell the others of its entry. */
	isTeller(endpoint: EndpointId): boolean;
}>;

/** Time after the first list in which gateways that start together, or that started shortly before, are listed too. */
const settlingMs: Milliseconds = 4000;
/** Time for which a gateway counts after it was listed last; lists lack gateways for a while after the store was restored. */
const unlistedGatewayMs: Milliseconds = 600_000;
/** Margin for gateways that aren't known, as a share of those that are. */
const marginShare = 1 / 8;
/** Largest margin, as a share of the limit, so that large fleets use most of it. */
const maximumMarginShare = 1 / 4;
/** Number of gateways that tell the others of an entry; more than one, as one may be cut off. */
const tellerCount = 3;
/** Number of endpoints whose ranks are cached; more than any fleet has. */
const maximumCachedRanks = 20_000;

/** Returns the number of gateways that may exist beside `knownCount` known ones without exceeding the limit. */
export function getMargin(knownCount: number, limit: number): number {
	return Math.min(Math.ceil(knownCount * marginShare), Math.max(1, Math.floor(limit * maximumMarginShare)));
}

/** Creates the shares of one gateway, which knows no other one. */
export function createColdShares(self: GatewayName): ColdShares {
	const selfHash = getHash(self);
	/** When each gateway was listed last. */
	const listedAt = new Map<GatewayName, Timestamp>();
	let otherHashes: readonly number[] = [];
	let firstListedAt = Number.POSITIVE_INFINITY;
	const ranks = new Map<EndpointId, number>();

	/** Returns the number of other gateways that rank before this one for an endpoint. */
	function getOwnRank(endpoint: EndpointId): number {
		const cached = ranks.get(endpoint);
		if (cached !== undefined) {
			return cached;
		}

		const endpointHash = getHash(endpoint);
		const ownHash = getPairHash(endpointHash, selfHash);
		let rank = 0;
		for (const hash of otherHashes) {
			rank += getPairHash(endpointHash, hash) < ownHash ? 1 : 0;
		}

		if (ranks.size >= maximumCachedRanks) {
			ranks.clear();
		}

		ranks.set(endpoint, rank);
		return rank;
	}

	return {
		recordGateways(names, now) {
			firstListedAt = Math.min(firstListedAt, now);
			const countBefore = listedAt.size;
			let hasChanged = false;
			for (const name of names.filter(other => other !== self)) {
				hasChanged ||= !listedAt.has(name);
				listedAt.set(name, now);
			}

			for (const [name, at] of listedAt) {
				if (now - at > unlistedGatewayMs) {
					listedAt.delete(name);
				}
			}

			if (hasChanged || listedAt.size !== countBefore) {
				otherHashes = [...listedAt.keys()].map(name => getHash(name));
				ranks.clear();
			}
		},
		getShare(endpoint, limit, now) {
			if (now - firstListedAt < settlingMs) {
				return 0;
			}

			const knownCount = otherHashes.length + 1;
			const margin = getMargin(knownCount, limit);
			const commonShare = Math.floor(limit / (knownCount + margin));
			const remainder = limit - (commonShare * (knownCount + margin)) - margin;
			return remainder > 0 && getOwnRank(endpoint) < remainder ? commonShare + 1 : commonShare;
		},
		isTeller: endpoint => getOwnRank(endpoint) < tellerCount,
	};
}
