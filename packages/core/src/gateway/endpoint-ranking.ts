/**
An order of the endpoints that differs from gateway to gateway and stays the same, so that gateways which place requests
at the same moment spread them over endpoints that are equally good.
*/
import {LRUCache} from 'lru-cache';
import type {EndpointId} from './gateway-types.js';
import type {GatewayName} from './load-view.js';

/** Returns the place of an endpoint in a gateway's order, from 0 up to but without 1. */
export type EndpointRanking = (endpoint: EndpointId) => number;

/** Endpoints whose place is remembered; more than any fleet has. */
const rememberedEndpoints = 20_000;

// Constants of the 32-bit FNV-1a hash.
const hashBasis = 0x81_1C_9D_C5;
const hashPrime = 0x01_00_01_93;
const hashRange = 2 ** 32;
const mixShift = 15;
const mixFactor = 0x2C_1B_3C_6D;

function getHash(text: string): number {
	let hash = hashBasis;
	for (let index = 0; index < text.length; index += 1) {
		hash = Math.imul(hash ^ (text.codePointAt(index) ?? 0), hashPrime); // eslint-disable-line no-bitwise -- a hash
	}

	// Spreads texts that differ in their last character alone.
	hash = Math.imul(hash ^ (hash >>> mixShift), mixFactor); // eslint-disable-line no-bitwise
	return (hash ^ (hash >>> mixShift)) >>> 0; // eslint-disable-line no-bitwise
}

/** Creates the order of one gateway. */
export function createEndpointRanking(gateway: GatewayName): EndpointRanking {
	const ranks = new LRUCache<EndpointId, number>({max: rememberedEndpoints});
	return endpoint => {
		const rank = ranks.get(endpoint) ?? getHash(`${gateway}/${endpoint}`) / hashRange;
		ranks.set(endpoint, rank);
		return rank;
	};
}
