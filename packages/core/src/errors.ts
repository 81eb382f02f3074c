/**
The error kinds, with the HTTP status, category and message text of each.

Every failure that is reported to a caller or operator has one of these kinds, and the format of `ErrorBody`.
*/
import type {Milliseconds, Ran, RequestId} from './types.js';

/** Category of an error, by who is able to fix it. */
export type ErrorCategory = 'caller' | 'capacity' | 'endpoint' | 'platform' | 'operator' | 'internal';

type ErrorDefinition = Readonly<{
	status: number;
	category: ErrorCategory;
	/** Whether the same request may succeed later. */
	isRetryable: boolean;
	text: string;
}>;

/** The definitions of all kinds of errors. */
export const errorTable = {
	malformedRequest: {
		status: 400, category: 'caller', isRetryable: false, text: 'The request is malformed',
	},
	idempotencyKeyMissing: {
		status: 400, category: 'caller', isRetryable: false, text: 'The header Idempotency-Key is required on this call',
	},
	unauthorised: {
		status: 401, category: 'caller', isRetryable: false, text: 'The key is unknown',
	},
	routeNotFound: {
		status: 404, category: 'caller', isRetryable: false, text: 'The route does not exist',
	},
	payloadTooLarge: {
		status: 413, category: 'caller', isRetryable: false, text: 'The body is too large',
	},
	promptTooLarge: {
		status: 413, category: 'caller', isRetryable: false, text: 'The prompt is longer than this route can serve',
	},
	idempotencyKeyReused: {
		status: 422, category: 'caller', isRetryable: false, text: 'The idempotency key was used with another body',
	},
	cancelled: {
		status: 499, category: 'caller', isRetryable: true, text: 'The caller closed the request',
	},
	rateLimited: {
		status: 429, category: 'capacity', isRetryable: true, text: 'The organisation is over its limit',
	},
	overloaded: {
		status: 503, category: 'capacity', isRetryable: true, text: 'No server can take the request now',
	},
	noServerPermitted: {
		status: 503, category: 'operator', isRetryable: true, text: 'No server may take the request now',
	},
	requestQuarantined: {
		status: 503, category: 'endpoint', isRetryable: true, text: 'Servers crash on this request',
	},
	promptQuarantined: {
		status: 503, category: 'endpoint', isRetryable: true, text: 'Servers crash on a part of this prompt',
	},
	deadlineUnreachable: {
		status: 503, category: 'capacity', isRetryable: true, text: 'The request would not finish within its deadline',
	},
	deadlineExceeded: {
		status: 504, category: 'capacity', isRetryable: true, text: 'The request did not finish within its deadline',
	},
	endpointUnreachable: {
		status: 503, category: 'endpoint', isRetryable: true, text: 'No server of the service can be reached now',
	},
	serverLost: {
		status: 502, category: 'endpoint', isRetryable: true, text: 'The server was lost and no other could take over',
	},
	serverFailed: {
		status: 502, category: 'endpoint', isRetryable: true, text: 'The server failed',
	},
	outcomeUnknown: {
		status: 502, category: 'endpoint', isRetryable: false, text: 'It is not known whether the action ran; it is not run again',
	},
	outcomePending: {
		status: 409, category: 'endpoint', isRetryable: true, text: 'The outcome of the earlier call with this key is not known yet',
	},
	platformUnavailable: {
		status: 503, category: 'platform', isRetryable: true, text: 'The object API does not answer',
	},
	notReady: {
		status: 503, category: 'platform', isRetryable: true, text: 'The process has no configuration yet',
	},
	draining: {
		status: 503, category: 'capacity', isRetryable: true, text: 'The process is stopping',
	},
	ticketInvalid: {
		status: 400, category: 'operator', isRetryable: false, text: 'The ticket is invalid',
	},
	ticketOutdated: {
		status: 409, category: 'operator', isRetryable: false, text: 'A newer ticket touched the same object',
	},
	ticketNotFound: {
		status: 404, category: 'operator', isRetryable: false, text: 'The ticket does not exist',
	},
	internal: {
		status: 500, category: 'internal', isRetryable: true, text: 'Internal error',
	},
} as const satisfies Readonly<Record<string, ErrorDefinition>>;

/** A kind of error; `errorTable` defines all of them. */
export type ErrorKind = keyof typeof errorTable;

/** Statuses by which callers learn that a request has not run and never will. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A failure that is reported to a caller. */
export type Failure = Readonly<{
	kind: ErrorKind;
	ran: Ran;
	/** Additional text after the message of the kind. It must not contain an API key or a prompt. */
	detail?: string | undefined;
	retryAfterMs?: Milliseconds | undefined;
}>;

/** The response body of every failure that callers and operators receive. */
export type ErrorBody = Readonly<{
	error: Readonly<{
		kind: ErrorKind;
		message: string;
		requestId: RequestId;
		ran: Ran;
		retryAfterMs?: Milliseconds;
	}>;
}>;

const defaultRetryAfterMs = 1000;

/** Creates a failure of a request that never ran. */
export function createNotRunFailure(kind: ErrorKind, detail?: string, retryAfterMs?: Milliseconds): Failure {
	return {
		kind, ran: 'no', detail, retryAfterMs,
	};
}

/** Returns the definition of a kind of error. */
export function getErrorDefinition(kind: ErrorKind): ErrorDefinition {
	return errorTable[kind];
}

/** Returns the delay before a retry, or `undefined` if the failure is not retryable. */
export function tryGetRetryAfterMs(failure: Failure): Milliseconds | undefined {
	if (!getErrorDefinition(failure.kind).isRetryable) {
		return undefined;
	}

	return Math.ceil(failure.retryAfterMs ?? defaultRetryAfterMs);
}

/** Returns the response body that reports a failure. */
export function getErrorBody(failure: Failure, requestId: RequestId): ErrorBody {
	const {text} = getErrorDefinition(failure.kind);
	const message = failure.detail === undefined ? text : `${text}: ${failure.detail}`;
	const retryAfterMs = tryGetRetryAfterMs(failure);
	return {
		error: {
			kind: failure.kind,
			message,
			requestId,
			ran: failure.ran,
			...(retryAfterMs === undefined ? {} : {retryAfterMs}),
		},
	};
}
