/**
Stand-in for the platform's callers: formats their request headers and checks the headers of responses.
*/
import type {IncomingHttpHeaders} from 'node:http';

/** Fields of a caller's request that tests vary. */
export type StandinCall = Readonly<{
	host: string;
	requestId: string;
	/** Time until the caller's deadline. */
	remainingMs: number;
	key: string;
	/** Tokens of the prompt; missing if the request has no prompt. */
	promptTokens: number | undefined;
	/** Segments of the prompt, as the header lists them; missing if the header is not sent. */
	segments?: string;
}>;

/** Maximum number of answer tokens that each request declares. */
const maximumAnswerTokens = 50;

/** Returns the headers of a caller's request. */
export function formatCallHeaders({host, requestId, remainingMs, key, promptTokens, segments}: StandinCall): Readonly<Record<string, string>> {
	return {
		host,
		'request-id': requestId,
		'deadline-ms': String(remainingMs),
		credential: key,
		...(promptTokens === undefined ? {} : {'token-count': `${promptTokens},${maximumAnswerTokens}`}),
		...(segments === undefined ? {} : {'prompt-prefix': segments}),
	};
}

/** Returns whether a response has a stamp, which proves that a server produced it. */
export function hasResponseStamp(headers: IncomingHttpHeaders): boolean {
	return headers['response-stamp'] !== undefined;
}
