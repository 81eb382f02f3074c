/**
Tie-breaking order of the endpoints. It is stable but differs between gateways, so that gateways that place requests at
the same time spread them over equally suitable endpoints.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {EndpointId} from './gateway-types.js';
import type {GatewayName} from './load-view.js';

/** Returns the rank of an endpoint in a gateway's order, in [0, 1). */
export type EndpointRanking = (endpoint: EndpointId) => number;

/** Number of endpoints whose rank is cached; more than any fleet has. */
const maximumCachedRanks = 20_000;

// Constants of the 32-bit FNV-1a hash.
const hashBasis = 0x81_1C_9D_C5;
const hashPrime = 0x01_00_01_93;
const hashRange = 2 ** 32;
const mixShift = 15;
const mixFactor = 0x2C_1B_3C_6D;

/** Returns a 32-bit hash of a text. */
export function getHash(text: string): number {
	let hash = hashBasis;
	for (let index = 0; index < text.length; index += 1) {
		hash = Math.imul(hash ^ (text.codePointAt(index) ?? 0), hashPrime); // eslint-disable-line no-bitwise -- a hash
	}

	// FNV-1a alone gives similar values to texts that differ only in their last character.
	hash = Math.imul(hash ^ (hash >>> mixShift), mixFactor); // eslint-disable-line no-bitwise
	return (hash ^ (hash >>> mixShift)) >>> 0; // eslint-disable-line no-bitwise
}

/** Returns a hash of a pair of texts, by their hashes, for comparing many pairs. */
export function getPairHash(left: number, right: number): number {
	let hash = Math.imul(left ^ Math.imul(right, hashPrime), mixFactor); // eslint-disable-line no-bitwise -- a hash
	hash = Math.imul(hash ^ (hash >>> mixShift), mixFactor); // eslint-disable-line no-bitwise
	return (hash ^ (hash >>> mixShift)) >>> 0; // eslint-disable-line no-bitwise
}

/** Returns a number in [0, 1) that depends only on the text. */
export function getHashFraction(text: string): number {
	return getHash(text) / hashRange;
}

/** Creates the endpoint order of one gateway. */
export function createEndpointRanking(gateway: GatewayName): EndpointRanking {
	const ranks = createBoundedCache<EndpointId, number>(maximumCachedRanks);
	return endpoint => {
		const rank = ranks.get(endpoint) ?? getHashFraction(`${gateway}/${endpoint}`);
		ranks.set(endpoint, rank);
		return rank;
	};
}
