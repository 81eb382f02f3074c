/**
What operators ask of an entry, and the answers they get. Both sides of the operator API share these forms.
*/
import type {BurnCount, BurnLine} from '@currantcross/core/burn';
import type {TicketEffect, VersionedObject} from '@currantcross/core/configuration';
import type {
	Milliseconds, Route, RouteName, ServingState, Ticket,
} from '@currantcross/core/types';

/** When a ticket was in force at one entry. */
export type InForce = Readonly<{
	entry: string;
	dataCentre: string;
	/** Time from acceptance; absent where the entry did not say so in time. */
	afterMs?: Milliseconds | undefined;
}>;

/** What became of a ticket that was handed in. */
export type ApplyAnswer
	= | Readonly<{kind: 'settled'; effect: TicketEffect; inForce: readonly InForce[]}>
	/** The object API did not answer in time; applying the same ticket again is safe. */
		| Readonly<{kind: 'unsettled'; mayTakeEffect: boolean}>;

/** A server as operators see it. */
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

/** The burn of all entries that answered. */
export type BurnReport = Readonly<{
	lines: readonly BurnLine[];
	/** Entries that did not answer; the lines lack their counts. */
	missing: readonly string[];
}>;

/** What one entry counted. */
export type EntryReport = Readonly<{entry: string; counts: readonly BurnCount[]}>;

/** The entry, as the operator API needs it. */
export type OperatorHost = Readonly<{
	applyTicket(ticket: Ticket, waitsForAll: boolean): Promise<ApplyAnswer>;
	getTicketObjects(number: number): readonly VersionedObject[];
	getRoutes(): readonly RouteView[];
	getServers(): readonly ServerView[];
	getBurnReport(): Promise<BurnReport>;
	createRequestId(): string;
}>;
