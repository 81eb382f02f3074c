/**
Memory of several servers that is set aside for one prompt which a single server can't hold.

All parts are reserved before the prompt is sent, and released as soon as it has ended. A reservation is held for a short
time and renewed while it is in use, so that memory is free again soon after a gateway has died. Each send has
reservations of its own, so that no two requests share one.
*/
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';
import type {ListedEndpoint} from './gateway-types.js';

/** Names one part of the memory that is set aside for one send. */
export type ReservationId = string;

/** Memory to set aside at one endpoint. */
export type Reservation = Readonly<{
	id: ReservationId;
	endpoint: ListedEndpoint;
	tokens: TokenCount;
	/** How long the endpoint keeps it without a renewal. */
	holdMs: Milliseconds;
}>;

export type ReservationState = 'waiting' | 'held' | 'failed';

export type MemoryReservation = Readonly<{
	reservations: readonly Reservation[];
	/** Takes in an endpoint's answer to a reservation, and returns the state of all of them. */
	recordAnswer(id: ReservationId, isHeld: boolean): ReservationState;
	getState(): ReservationState;
	/** Returns what is to be renewed now. */
	takeRenewals(now: Timestamp): readonly Reservation[];
	getRenewAt(): Timestamp;
	/** Returns the endpoints that did not give memory. */
	getFailedEndpoints(): readonly ListedEndpoint[];
}>;

/** Hold without renewal. The platform counts memory as leaked four seconds after its last use. */
export const reservationHoldMs: Milliseconds = 3600;
/** Pause between renewals; two may be lost before the hold ends. */
const renewalMs: Milliseconds = 1200;

/** Creates the reservations of one send, which are asked for at `now`. */
export function createMemoryReservation(reservations: readonly Reservation[], now: Timestamp): MemoryReservation {
	const answers = new Map<ReservationId, boolean>();
	let renewAt = now + renewalMs;

	function getState(): ReservationState {
		if (answers.size < reservations.length) {
			return 'waiting';
		}

		return reservations.every(({id}) => answers.get(id) === true) ? 'held' : 'failed';
	}

	return {
		reservations,
		recordAnswer(id, isHeld) {
			if (!answers.has(id)) {
				answers.set(id, isHeld);
			}

			return getState();
		},
		getState,
		takeRenewals(at) {
			if (at < renewAt) {
				return [];
			}

			renewAt = at + renewalMs;
			return reservations;
		},
		getRenewAt: () => renewAt,
		getFailedEndpoints: () => reservations.filter(({id}) => answers.get(id) !== true).map(({endpoint}) => endpoint),
	};
}
