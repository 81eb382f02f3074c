/**
One send of a request: what it waits for, and how long its silence is borne.
*/
import type {Milliseconds, Timestamp} from '../types.js';
import type {EventSplitter} from './event-splitter.js';
import type {EndpointAnswerHead, GatewayRequest, ServedRoute} from './gateway-types.js';
import type {MemoryReservation} from './memory-reservation.js';
import type {Placement} from './placement.js';
import type {SendId} from './relay-types.js';

/** Bounds of the silence of a send, in milliseconds and as multiples of its route's aims. */
export const silenceLimits = {
	/** Shortest silence that is taken as a failure; passes of a busy server take up to half a second. */
	minimumMs: 900,
	/** Longest wait for a stream that has gone silent. */
	maximumMs: 6000,
	/** Multiple of the objective, for the first event. */
	objectiveFactor: 2.5,
	/** Multiple of the longest pause, between events. */
	pauseFactor: 4,
	/** Pause between looks at a request that is silent but not lost. */
	recheckMs: 500,
	/** Wait for the answer to a probe; endpoints answer probes at once, beside their other work. */
	probeMs: 300,
} as const;

const okStatus = 200;

/** One send of a request to an endpoint, and what has come back. */
export type Send = {
	readonly id: SendId;
	readonly placement: Placement;
	readonly splitter: EventSplitter;
	readonly chunks: Uint8Array[];
	/** Memory at other endpoints that the request needs; it is sent once that is held. */
	readonly memory: MemoryReservation | undefined;
	head: EndpointAnswerHead | undefined;
	readonly sentAt: Timestamp;
	/** When bytes came last, or the request was sent. */
	lastProgressAt: Timestamp;
	/** When to look again whether the request is lost. */
	checkAt: Timestamp;
	isProbed: boolean;
	hasEvents: boolean;
};

/** A whole answer that was not a stream. */
export type SavedAnswer = Readonly<{head: EndpointAnswerHead; chunks: readonly Uint8Array[]}>;

/** Returns whether an answer is passed on event by event. */
export function isStreamAnswer(request: GatewayRequest, head: EndpointAnswerHead): boolean {
	return request.route.kind === 'streaming' && head.status === okStatus;
}

/** Returns the number of an event, where its id is one. */
export function parseEventNumber(id: string | undefined): number | undefined {
	return id !== undefined && /^\d+$/v.test(id) ? Number(id) : undefined;
}

/** Returns how long a send may be silent before it is looked into. */
export function getSilenceLimitMs(route: ServedRoute, send: Send): Milliseconds {
	const {minimumMs, maximumMs, objectiveFactor, pauseFactor} = silenceLimits;
	const usualMs = send.hasEvents
		? route.longestPauseMs * pauseFactor
		: Math.max(route.objectiveMs * objectiveFactor, send.placement.firstEventMs * 2);
	return Math.min(maximumMs, Math.max(minimumMs, usualMs));
}
