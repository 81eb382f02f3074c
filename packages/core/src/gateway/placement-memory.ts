/**
The memory of several servers for one prompt: how much each of them sets aside.
*/
import type {TokenCount} from '../types.js';
import type {EngineProfile} from './gateway-types.js';
import type {EndpointLoad} from './load-view.js';

/** Share of a server's memory that is planned for; the rest is for answers as they grow and for what is not yet known. */
const plannedMemoryShare = 0.93;
/** Least memory that is worth a reservation. */
const leastReservedTokens: TokenCount = 8000;
/** Returns the memory of a server that a new prompt may take. */
export function getFreeTokens(engine: EngineProfile, load: EndpointLoad): TokenCount {
	return Math.max(0, (engine.memoryTokens * plannedMemoryShare) - load.memoryTokens);
}

/**
Returns the memory to set aside at each helper, so that the rest fits at the receiver, the first of the candidates; or
`undefined` when all of them together have too little.
*/
export function getReservedTokens(engine: EngineProfile, promptTokens: TokenCount, [receiver, ...helpers]: ReadonlyArray<Readonly<{load: EndpointLoad}>>): readonly TokenCount[] | undefined {
	let missing = promptTokens - (receiver === undefined ? 0 : getFreeTokens(engine, receiver.load));
	const reserved = helpers.map(({load}) => {
		const free = getFreeTokens(engine, load);
		if (missing <= 0 || free < leastReservedTokens) {
			return 0;
		}

		const tokens = Math.ceil(Math.min(free, Math.max(missing, leastReservedTokens)));
		missing -= tokens;
		return tokens;
	});
	return missing > 0 ? undefined : reserved;
}

