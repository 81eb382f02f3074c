/**
Reservation of memory at several servers for one prompt that a single server can't hold.

All parts are reserved before the prompt is sent and released as soon as the send ends. Each reservation expires after a
short time unless it is renewed, so that memory becomes free soon after a gateway has crashed. Each send makes its own
reservations, so that no two requests share one.

A receiver may have read a prompt and never begin it, while it answers probes. The holders of the memory report whether a
request uses it, so they are asked while the send makes no progress, and a send whose memory stays unused is abandoned.
*/
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';
import type {ListedEndpoint} from './gateway-types.js';

/** Identifies one reservation of a send. */
export type ReservationId = string;

/** Memory to reserve at one endpoint. */
export type Reservation = Readonly<{
	id: ReservationId;
	endpoint: ListedEndpoint;
	tokens: TokenCount;
	/** Time after which the reservation expires unless it is renewed. */
	holdMs: Milliseconds;
}>;

export type ReservationState = 'waiting' | 'held' | 'failed';

/** Limits on the time for which reserved memory may be unused. */
export type MemoryUseLimits = Readonly<{
	/** Time after which the holders are asked. */
	checkAfterMs: Milliseconds;
	/** Time after which the memory is released even if the request can't be sent again. */
	maximumUnusedMs: Milliseconds;
}>;

/** What is due for the memory of a send without progress. */
export type MemoryUseCheck
	= | Readonly<{kind: 'none'}>
		| Readonly<{kind: 'ask'; reservations: readonly Reservation[]}>
	/** Not all holders reported within the timeout that the memory is used. */
		| Readonly<{kind: 'unused'; holders: readonly ListedEndpoint[]; isOverdue: boolean}>;

export type MemoryReservation = Readonly<{
	reservations: readonly Reservation[];
	/** Records an endpoint's response to a reservation, and returns the combined state. */
	recordResponse(id: ReservationId, isHeld: boolean): ReservationState;
	getState(): ReservationState;
	/** Returns the reservations to renew now, and schedules their next renewal. */
	takeDueRenewals(now: Timestamp): readonly Reservation[];
	getRenewAt(): Timestamp;
	/** Returns the endpoints that refused their reservation or haven't answered. */
	getFailedEndpoints(): readonly ListedEndpoint[];
	/** Records that a holder reported its reservation as used. */
	recordUse(id: ReservationId, now: Timestamp): void;
	/** Records progress of the send, which shows that all the memory is used. */
	recordProgress(now: Timestamp): void;
	/** Returns which check of the use is due, and schedules the next one. */
	takeUseCheck(now: Timestamp): MemoryUseCheck;
	/** Returns when the next check of the use is due; infinite until all reservations are held. */
	getUseCheckAt(): Timestamp;
}>;

/** Hold time without renewal. The platform counts memory as leaked four seconds after its last use. */
export const reservationHoldMs: Milliseconds = 3600;
/** Interval between renewals; two may be lost before the reservation expires. */
const renewalIntervalMs: Milliseconds = 1200;

/** Timeout of a report; somewhat longer than that of the control request that fetches it. */
const reportTimeoutMs: Milliseconds = 400;
/** Interval between checks of memory that is unused but still held. */
const recheckIntervalMs: Milliseconds = 500;
/** Time between the reservation and the first check; a report may be half a second older than its arrival. */
const minimumCheckAfterMs: Milliseconds = 1500;
/** Part of the platform's limit that covers the interval and the timeout of the last check, and the latency of orders. */
const releaseMarginMs: Milliseconds = 1800;

/**
Returns the limits for a prompt with the given predicted time to the first event, on a platform that allows memory to be
unused for `idleMs`. A release that is lost leaves the memory reserved for the hold time.
*/
export function getMemoryUseLimits(firstEventMs: Milliseconds, idleMs: Milliseconds): MemoryUseLimits {
	const maximumUnusedMs = Math.max(minimumCheckAfterMs, idleMs - reservationHoldMs - releaseMarginMs);
	return {checkAfterMs: Math.min(Math.max(minimumCheckAfterMs, firstEventMs), maximumUnusedMs), maximumUnusedMs};
}

/** Creates the state of a send's reservations, which are requested at `now`. */
export function createMemoryReservation(reservations: readonly Reservation[], limits: MemoryUseLimits, now: Timestamp): MemoryReservation {
	const responses = new Map<ReservationId, boolean>();
	/** Reservations that were reported as used since the holders were last asked. */
	const used = new Set<ReservationId>();
	let renewAt = now + renewalIntervalMs;
	let lastUsedAt = now;
	let isAsking = false;
	let useCheckAt = now + limits.checkAfterMs;

	function getState(): ReservationState {
		if (responses.size < reservations.length) {
			return 'waiting';
		}

		return reservations.every(({id}) => responses.get(id) === true) ? 'held' : 'failed';
	}

	function recordProgress(at: Timestamp): void {
		lastUsedAt = at;
		isAsking = false;
		useCheckAt = at + limits.checkAfterMs;
	}

	return {
		reservations,
		recordResponse(id, isHeld) {
			if (!responses.has(id)) {
				responses.set(id, isHeld);
			}

			return getState();
		},
		getState,
		takeDueRenewals(at) {
			if (at < renewAt) {
				return [];
			}

			renewAt = at + renewalIntervalMs;
			return reservations;
		},
		getRenewAt: () => renewAt,
		getFailedEndpoints: () => reservations.filter(({id}) => responses.get(id) !== true).map(({endpoint}) => endpoint),
		recordUse(id, at) {
			used.add(id);
			if (isAsking && reservations.every(reservation => used.has(reservation.id))) {
				recordProgress(at);
			}
		},
		recordProgress,
		takeUseCheck(at) {
			if (getState() !== 'held' || at < useCheckAt) {
				return {kind: 'none'};
			}

			isAsking = !isAsking;
			if (isAsking) {
				used.clear();
				useCheckAt = at + reportTimeoutMs;
				return {kind: 'ask', reservations};
			}

			useCheckAt = at + recheckIntervalMs;
			return {
				kind: 'unused',
				holders: reservations.filter(({id}) => !used.has(id)).map(({endpoint}) => endpoint),
				isOverdue: at - lastUsedAt >= limits.maximumUnusedMs,
			};
		},
		getUseCheckAt: () => getState() === 'held' ? useCheckAt : Number.POSITIVE_INFINITY,
	};
}
