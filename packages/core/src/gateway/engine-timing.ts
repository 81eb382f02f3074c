/**
Timing of a model server: how long a prompt is read, and how long a pass takes.

A server works in passes. While answers are written, a pass has a fixed number of token steps; each step may also read
one chunk of a prompt, and that lengthens the pause before each writer's next event.
*/
import type {Milliseconds, TokenCount} from '../types.js';
import type {EngineProfile} from './gateway-types.js';

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/** Returns how long one server takes to read a prompt by itself. */
export function getReadMs(engine: EngineProfile, tokens: TokenCount): Milliseconds {
	const pairs = tokens * tokens / 2;
	return (tokens / engine.readTokensPerMs) + (pairs / pairsPerMillion * engine.readMsPerMillionPairs);
}

/** Returns the time of one pass that reads nothing, with the given writers and the tokens of their prompts. */
export function getWritingPassMs(engine: EngineProfile, writers: number, contextTokens: TokenCount): Milliseconds {
	if (writers === 0) {
		return 0;
	}

	const stepMs = engine.stepMs + (writers * engine.stepMsPerWriter) + (contextTokens / tokensPerThousand * engine.stepMsPerThousandTokens);
	return engine.stepsPerPass * stepMs;
}
