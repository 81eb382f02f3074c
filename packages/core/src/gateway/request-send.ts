/**
The state of one send of a request, and the timeouts after which a silent send is checked.
*/
import type {ByteStore} from '../byte-buffer.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EventSplitter} from './event-splitter.js';
import type {EndpointResponseHead, GatewayRequest, ServedRoute} from './gateway-types.js';
import type {MemoryReservation} from './memory-reservation.js';
import type {Placement} from './placement.js';
import type {ResponseEvidence, SendId, SilenceOutcome} from './gateway-events.js';

/** Timeouts of a send without progress, in milliseconds and as multiples of its route's latency targets. */
export const silenceTimeouts = {
	/** Minimum timeout; passes of a busy server take up to half a second. */
	minimumMs: 900,
	/** Maximum timeout. */
	maximumMs: 6000,
	/** Multiple of the route's objective, before the first event. */
	objectiveFactor: 2.5,
	/** Multiple of the route's longest pause, between events. */
	pauseFactor: 4,
	/** Interval between checks of a send that is silent but not known to be lost. */
	recheckMs: 500,
	/** Timeout of a probe; endpoints answer probes at once, even when they are busy. */
	probeMs: 300,
} as const;

/** Maximum number of bytes of a stream without an event that has content; more are taken for an endless response. */
export const maximumEventBytes = 262_144;

/** Number of pauses between events that are learned from at once. */
export const learnedPauses = 8;

/** Number of bytes of a body that count as progress; fewer do if they complete it. */
export const minimumProgressBytes = 1024;

/** Time after which an endpoint may cut off a response that isn't read. */
const unreadMs: Milliseconds = 1500;

const okStatus = 200;

/** One send of a request to an endpoint, and the response received so far. */
export type Send = {
	readonly id: SendId;
	readonly placement: Placement;
	readonly splitter: EventSplitter;
	/** Body of a response that is not a stream. */
	readonly body: ByteStore;
	/** Memory reservations at the helpers; the request is sent once all are held. */
	readonly memory: MemoryReservation | undefined;
	head: EndpointResponseHead | undefined;
	/** What the head of the response shows, whether the response was accepted or not. */
	evidence: ResponseEvidence | undefined;
	readonly sentAt: Timestamp;
	/** When the request went to its endpoint, after memory was reserved; `undefined` until then. */
	dispatchedAt: Timestamp | undefined;
	/** When the request was sent, or its response last progressed: by its head, events with content, or enough bytes of another body. */
	lastProgressAt: Timestamp;
	/** When to check next whether the send is lost. */
	checkAt: Timestamp;
	isProbed: boolean;
	/** Number of bytes received since the last progress that were none. */
	unproductiveBytes: number;
	/** Outcomes of silence checks that were reported; each is reported once. */
	readonly reportedOutcomes: Set<SilenceOutcome>;
	hasEvents: boolean;
	/** Since when the gateway doesn't read the response. */
	pausedAt: Timestamp | undefined;
	/** Total time for which it did not read it. */
	pausedMs: Milliseconds;
	/** Whether it did not read it for so long at once that the endpoint may have cut it off. */
	wasLeftUnread: boolean;
	/** Latest pauses between events, which aren't learned from yet. */
	pausesMs: readonly Milliseconds[];
};

/** A complete response that is not a stream. */
export type SavedResponse = Readonly<{head: EndpointResponseHead; parts: readonly Uint8Array[]}>;

/** Returns whether a response is forwarded event by event. */
export function isStreamResponse(request: GatewayRequest, head: EndpointResponseHead): boolean {
	return request.route.kind === 'streaming' && head.status === okStatus;
}

/** Returns the number of an event, or `undefined` if its id is not a number. */
export function parseEventNumber(id: string | undefined): number | undefined {
	return id !== undefined && /^\d+$/v.test(id) ? Number(id) : undefined;
}

/** Stops the checks of a send's silence while the gateway doesn't read its response. */
export function pauseSend(send: Send, now: Timestamp): void {
	send.pausedAt ??= now;
	send.isProbed = false;
	send.checkAt = Number.POSITIVE_INFINITY;
}

/** Ends the pause of a send, whose silence counts from now. Returns how long it has lasted. */
export function resumeSend(route: ServedRoute, send: Send, now: Timestamp): Milliseconds {
	const pausedMs = now - (send.pausedAt ?? now);
	send.wasLeftUnread = isLeftUnread(send, now);
	send.pausedAt = undefined;
	send.pausedMs += pausedMs;
	send.lastProgressAt = now;
	send.memory?.recordProgress(now);
	send.checkAt = now + getSilenceTimeoutMs(route, send);
	return pausedMs;
}

/** Returns whether the gateway has ever not read a send's response, so that its times say nothing of its endpoint. */
export function hasPaused({pausedAt, pausedMs}: Send): boolean {
	return pausedAt !== undefined || pausedMs > 0;
}

/** Returns whether a send's response was once not read for so long that its endpoint may have cut it off. */
export function isLeftUnread({wasLeftUnread, pausedAt}: Send, now: Timestamp): boolean {
	return wasLeftUnread || (pausedAt !== undefined && now - pausedAt >= unreadMs);
}

/** Returns how long a send may be silent before it is checked. */
export function getSilenceTimeoutMs(route: ServedRoute, send: Send): Milliseconds {
	const {minimumMs, maximumMs, objectiveFactor, pauseFactor} = silenceTimeouts;
	const expectedMs = send.hasEvents
		? route.longestPauseMs * pauseFactor
		: Math.max(route.objectiveMs * objectiveFactor, send.placement.firstEventMs * 2);
	return Math.min(maximumMs, Math.max(minimumMs, expectedMs));
}
