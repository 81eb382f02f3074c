/**
Sends failures to callers and operators as HTTP responses.
*/
import type {ServerResponse} from 'node:http';
import {toError, getErrorText} from '@currantcross/core/error-text';
import {
	createNotRunFailure, getErrorDefinition, getErrorBody, tryGetRetryAfterMs, type Failure,
} from '@currantcross/core/errors';
import type {RequestId} from '@currantcross/core/types';
import {getBoundFailure} from '@currantcross/core/gateway/caller-memory';
import VError from 'verror';
import {sendJson} from './http-server.js';

const millisecondsPerSecond = 1000;

/** Response header with the id of the request. */
export const requestIdHeader = 'x-currantcross-request-id';

/** Sends a failure as a complete JSON response. Must be called before any response headers are sent. */
export function sendFailure(response: ServerResponse, failure: Failure, requestId: RequestId): void {
	const retryAfterMs = tryGetRetryAfterMs(failure);
	sendJson(response, getErrorDefinition(failure.kind).status, getErrorBody(failure, requestId), {
		[requestIdHeader]: requestId,
		...(retryAfterMs === undefined ? {} : {'retry-after': String(Math.ceil(retryAfterMs / millisecondsPerSecond))}),
	});
}

/** Maps an error thrown by a handler to the failure to send. */
export function getHandlerFailure(error: unknown): Failure {
	if (VError.hasCauseWithName(toError(error), 'PayloadTooLarge')) {
		return createNotRunFailure('payloadTooLarge');
	}

	if (VError.hasCauseWithName(toError(error), 'CallersBounded')) {
		return getBoundFailure(Math.floor(performance.now()));
	}

	if (VError.hasCauseWithName(toError(error), 'MalformedRequest')) {
		return createNotRunFailure('malformedRequest', getErrorText(error));
	}

	return {kind: 'internal', ran: 'unknown'};
}
