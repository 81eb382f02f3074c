/**
Timing model of a model server: the time of a prefill and of a decoding pass.

A server works in passes. While it decodes, a pass has a fixed number of decoding steps. Each step may also prefill one
chunk of a prompt, which lengthens the pause before the next event of every decoding sequence.
*/
import type {Milliseconds, TokenCount} from '../types.js';
import type {EngineProfile} from './gateway-types.js';

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/** Returns the prefill time of a prompt on one server. */
export function getPrefillMs(engine: EngineProfile, tokens: TokenCount): Milliseconds {
	const pairs = tokens * tokens / 2;
	return (tokens / engine.prefillTokensPerMs) + (pairs / pairsPerMillion * engine.prefillMsPerMillionPairs);
}

/** Returns the time of one pass without prefill, for the given number of sequences and the total length of their prompts. */
export function getDecodePassMs(engine: EngineProfile, sequenceCount: number, contextTokens: TokenCount): Milliseconds {
	if (sequenceCount === 0) {
		return 0;
	}

	const stepMs = engine.stepMs + (sequenceCount * engine.stepMsPerSequence) + (contextTokens / tokensPerThousand * engine.stepMsPerThousandTokens);
	return engine.stepsPerPass * stepMs;
}
