/**
Types shared by the server and the client of the operator API.
*/
import type {BurnCount, BurnLine} from '@currantcross/core/burn';
import type {TicketEffect, VersionedObject} from '@currantcross/core/configuration';
import type {
	Milliseconds, Route, RouteName, ServingState, Ticket,
} from '@currantcross/core/types';

/** When a ticket came into force at one entry. */
export type InForceStatus = Readonly<{
	entry: string;
	dataCentre: string;
	/** Time since the ticket was accepted; absent if the entry did not confirm it in time. */
	afterMs?: Milliseconds | undefined;
}>;

/** Outcome of applying a ticket. */
export type ApplyTicketResult
	= | Readonly<{kind: 'settled'; effect: TicketEffect; inForce: readonly InForceStatus[]}>
	/** The object API did not respond in time; it is safe to apply the same ticket again. */
		| Readonly<{kind: 'unsettled'; mayTakeEffect: boolean}>;

/** A server as shown to operators. */
export type ServerView = Readonly<{
	name: string;
	pool: string;
	dataCentre: string;
	state: ServingState | 'unknown' | 'unreachable';
	isLeaving: boolean;
	incarnation: string | undefined;
	activeRequests: number | undefined;
	queuedRequests: number | undefined;
}>;

/** A route with its name. */
export type RouteView = Readonly<{name: RouteName; route: Route}>;

/** The burn rates over all entries that responded. */
export type BurnReport = Readonly<{
	lines: readonly BurnLine[];
	/** Entries that did not respond; their counts are not included in the lines. */
	missing: readonly string[];
}>;

/** The service-level counts of one entry. */
export type EntryReport = Readonly<{entry: string; counts: readonly BurnCount[]}>;

/** The operations of an entry that the operator API needs. */
export type OperatorHost = Readonly<{
	/** Applies a ticket; `waitsForAll` specifies whether to wait until it is in force at all known entries. */
	applyTicket(ticket: Ticket, waitsForAll: boolean): Promise<ApplyTicketResult>;
	getTicketObjects(number: number): readonly VersionedObject[];
	getRoutes(): readonly RouteView[];
	getServers(): readonly ServerView[];
	getBurnReport(): Promise<BurnReport>;
	createRequestId(): string;
}>;
