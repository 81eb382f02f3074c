/**
What a request has in common with others that may crash the same servers: the segments of its prompt, and the request as a whole,
which its repeats share. Evidence of crashes is kept by trait, in the form of segment ids.
*/
import type {GatewayRequest, SegmentId} from './gateway-types.js';

/** Prefix of the id of a whole request; the ids of segments are hexadecimal numbers. */
const wholeRequestPrefix = 'request-';

/** Returns the ids of the request's segments and of the request as a whole. */
export function getTraits({sharedSegments, fingerprint}: Pick<GatewayRequest, 'sharedSegments' | 'fingerprint'>): readonly SegmentId[] {
	return [...sharedSegments, `${wholeRequestPrefix}${fingerprint}`];
}

/** Returns whether the id is that of a whole request. */
export function isWholeRequest(trait: SegmentId): boolean {
	return trait.startsWith(wholeRequestPrefix);
}
