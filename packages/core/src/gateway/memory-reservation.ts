/**
Reservation of memory at several servers for one prompt that a single server can't hold.

All parts are reserved before the prompt is sent and released as soon as the send ends. Each reservation expires after a
short time unless it is renewed, so that memory becomes free soon after a gateway has crashed. Each send makes its own
reservations, so that no two requests share one.
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
}>;

/** Hold time without renewal. The platform counts memory as leaked four seconds after its last use. */
export const reservationHoldMs: Milliseconds = 3600;
/** Interval between renewals; two may be lost before the reservation expires. */
const renewalIntervalMs: Milliseconds = 1200;

/** Creates the state of a send's reservations, which are requested at `now`. */
export function createMemoryReservation(reservations: readonly Reservation[], now: Timestamp): MemoryReservation {
	const responses = new Map<ReservationId, boolean>();
	let renewAt = now + renewalIntervalMs;

	function getState(): ReservationState {
		if (responses.size < reservations.length) {
			return 'waiting';
		}

		return reservations.every(({id}) => responses.get(id) === true) ? 'held' : 'failed';
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
	};
}
