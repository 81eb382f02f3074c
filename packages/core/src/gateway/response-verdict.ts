/**
Decides what the head of a response says of whether its endpoint has run the request. A request that may not be repeated is sent again, and any
request is reported as not run, only after a response that states it here; whatever else comes may be the response of an endpoint that has run it.
*/
import {notRunStatuses} from '../errors.js';
import type {EndpointResponseHead} from './gateway-types.js';

export type RunStatement
	/** The response belongs to another request, or to none. */
	= | 'foreign'
	/** The endpoint has not run the request and never will. */
		| 'notRun'
	/** The response refuses a request that its address got before; it may be a copy of the refusal before. */
		| 'repeated'
	/** The response has the status of a refusal, but doesn't state that the request has not run. */
		| 'unproven'
	/** The endpoint answers the request, which it may have run. */
		| 'answered';

/** A send of a request, as far as a response to it is judged by it. */
export type JudgedSend = Readonly<{
	requestId: string;
	/** Whether the request was sent to the same address before. */
	isRepeated: boolean;
}>;

/** Returns what the head of a response to a send states. */
export function getRunStatement(head: EndpointResponseHead, {requestId, isRepeated}: JudgedSend): RunStatement {
	if ((head.requestId ?? '') !== requestId) {
		return 'foreign';
	}

	if (!notRunStatuses.has(head.status)) {
		return 'answered';
	}

	// Without an id the response may belong to any other request without one.
	if (!head.isNotRun || requestId === '') {
		return 'unproven';
	}

	return isRepeated ? 'repeated' : 'notRun';
}
