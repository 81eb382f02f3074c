/**
Stand-in for the users' callers: the headers of their requests, and what they look for in an answer's.
*/
import type {IncomingHttpHeaders} from 'node:http';

export type StandinCall = Readonly<{
	host: string;
	requestId: string;
	/** How long the caller waits. */
	remainingMs: number;
	key: string;
	/** Tokens of the prompt, where the request has one. */
	promptTokens: number | undefined;
}>;

/** Tokens of each answer at most. */
const maximumAnswerTokens = 50;

/** Returns the headers of a request. */
export function formatCallHeaders({host, requestId, remainingMs, key, promptTokens}: StandinCall): Readonly<Record<string, string>> {
	return {
		host,
		'request-id': requestId,
		'deadline-ms': String(remainingMs),
		credential: key,
		...(promptTokens === undefined ? {} : {'token-count': `${promptTokens},${maximumAnswerTokens}`}),
	};
}

/** Returns whether an answer proves which server it is from. */
export function hasServerProof(headers: IncomingHttpHeaders): boolean {
	return headers['response-stamp'] !== undefined;
}
