/**
Division of a prompt's memory among the servers that serve it.
*/
import type {TokenCount} from '../types.js';
import type {EngineProfile} from './gateway-types.js';
import type {EndpointLoad} from './load-view.js';

/** Share of a server's memory that placements may use; the rest is for growing sequences and for requests not known yet. */
const usableMemoryShare = 0.93;
/** Minimum size of a reservation. */
const minimumReservedTokens: TokenCount = 8000;

/** Returns the memory of a server that is available to a new prompt. */
export function getFreeTokens(engine: EngineProfile, load: EndpointLoad): TokenCount {
	return Math.max(0, (engine.memoryTokens * usableMemoryShare) - load.memoryTokens);
}

/**
Returns the memory to reserve at each helper so that the remainder fits at the receiver, which is the first candidate.
Returns `undefined` if all candidates together have too little memory.
*/
export function getReservedTokens(engine: EngineProfile, promptTokens: TokenCount, [receiver, ...helpers]: ReadonlyArray<Readonly<{load: EndpointLoad}>>): readonly TokenCount[] | undefined {
	let missingTokens = promptTokens - (receiver === undefined ? 0 : getFreeTokens(engine, receiver.load));
	const reserved = helpers.map(({load}) => {
		const freeTokens = getFreeTokens(engine, load);
		if (missingTokens <= 0 || freeTokens < minimumReservedTokens) {
			return 0;
		}

		const tokens = Math.ceil(Math.min(freeTokens, Math.max(missingTokens, minimumReservedTokens)));
		missingTokens -= tokens;
		return tokens;
	});
	return missingTokens > 0 ? undefined : reserved;
}

