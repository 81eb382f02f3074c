/**
Decides what the head of a response says of whether its endpoint has run the request. A request that may not be repeated is sent again, and any
request is reported as not run, only after a response that states it here; whatever else comes may be the response of an endpoint that has run it.
*/
import {notRunStatuses} from '../errors.js';
import type {EndpointResponseHead} from './gateway-types.js';

export type ResponseVerdict
	/** The response belongs to another request, or to none. */
	= | 'foreign'
	/** The endpoint has not run the request and never will. */
		| 'notRun'
	/** The response has the status of a refusal, but doesn't state that the request has not run. */
		| 'unproven'
	/** The endpoint answers the request, which it may have run. */
		| 'answered';

/** Judges the head of a response to the request with this id. */
export function getResponseVerdict(head: EndpointResponseHead, requestId: string): ResponseVerdict {
	if ((head.requestId ?? '') !== requestId) {
		return 'foreign';
	}

	if (!notRunStatuses.has(head.status)) {
		return 'answered';
	}

	// Without an id the response may belong to any other request without one.
	return head.isNotRun && requestId !== '' ? 'notRun' : 'unproven';
}
