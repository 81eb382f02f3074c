/**
Which servers there are and whether they may get new work.

The host list says who exists, and lags. An agent speaks for its server: its statement `serving`, `draining` or `gone`
is merged in this order within one incarnation, and neither the late host list nor a late message takes it back. A new
incarnation starts afresh; a retired one is never believed again.
*/
import type {
	AgentStatus, Incarnation, Milliseconds, PoolName, Server, ServerName, ServingState, Timestamp,
} from './types.js';

const stateOrder = {serving: 0, draining: 1, gone: 2} as const satisfies Readonly<Record<ServingState, number>>;

/** How many former incarnations of a server are remembered. */
const maximumRetiredIncarnations = 8;

export type MembershipSettings = Readonly<{
	/** First pause after a server could not be reached; doubles with each failure. */
	initialBackoffMs: Milliseconds;
	maximumBackoffMs: Milliseconds;
}>;

/** A server with the last that its agent said. */
export type Member = Readonly<{
	server: Server;
	status: AgentStatus | undefined;
	statusAt: Timestamp;
	unreachableUntil: Timestamp;
	failureCount: number;
	retiredIncarnations: readonly Incarnation[];
	/** Whether the host list names the host as leaving. */
	isLeaving: boolean;
}>;

/** One line of the host list. */
export type HostListing = Readonly<{server: Server; isLeaving: boolean}>;

export type Membership = Readonly<{
	applyHostList(listings: readonly HostListing[]): void;
	applyStatus(status: AgentStatus, now: Timestamp): void;
	recordUnreachable(name: ServerName, now: Timestamp): void;
	tryGetMember(name: ServerName): Member | undefined;
	/** Returns the members of a pool that may get new work now. */
	getAvailable(pool: PoolName, now: Timestamp): readonly Member[];
	getMembers(): Iterable<Member>;
}>;

function createMember(listing: HostListing): Member {
	return {
		server: listing.server,
		status: undefined,
		statusAt: 0,
		unreachableUntil: 0,
		failureCount: 0,
		retiredIncarnations: [],
		isLeaving: listing.isLeaving,
	};
}

/** Returns whether the member may get new work. */
export function isAvailable(member: Member, now: Timestamp): boolean {
	const state = member.status?.state ?? 'serving';
	return state === 'serving' && !member.isLeaving && member.unreachableUntil <= now;
}

/** Merges what an agent says into what is known of it; returns the member unchanged when the word is outdated. */
export function mergeStatus(member: Member, status: AgentStatus, now: Timestamp): Member {
	const {incarnation} = status.permit;
	if (member.retiredIncarnations.includes(incarnation)) {
		return member;
	}

	const current = member.status;
	if (current !== undefined && current.permit.incarnation !== incarnation) {
		const retiredIncarnations = [...member.retiredIncarnations, current.permit.incarnation].slice(-maximumRetiredIncarnations);
		return {
			...member, status, statusAt: now, unreachableUntil: 0, failureCount: 0, retiredIncarnations,
		};
	}

	const isOlder = current !== undefined && status.permit.stampedAt < current.permit.stampedAt;
	const newest = isOlder ? current : status;
	const state = current !== undefined && stateOrder[current.state] > stateOrder[status.state] ? current.state : status.state;
	return {
		...member, status: {...newest, state}, statusAt: now, unreachableUntil: 0, failureCount: 0,
	};
}

/** Creates an empty membership. */
export function createMembership(settings: MembershipSettings): Membership {
	let members = new Map<ServerName, Member>();

	function mergeListing(listing: HostListing): Member {
		const member = members.get(listing.server.name);
		if (member === undefined) {
			return createMember(listing);
		}

		return {...member, server: listing.server, isLeaving: listing.isLeaving};
	}

	return {
		applyHostList(listings) {
			members = new Map(listings.map(listing => [listing.server.name, mergeListing(listing)]));
		},
		applyStatus(status, now) {
			const member = members.get(status.server);
			if (member !== undefined) {
				members.set(status.server, mergeStatus(member, status, now));
			}
		},
		recordUnreachable(name, now) {
			const member = members.get(name);
			if (member === undefined) {
				return;
			}

			const backoffMs = Math.min(settings.maximumBackoffMs, settings.initialBackoffMs * (2 ** member.failureCount));
			members.set(name, {...member, unreachableUntil: now + backoffMs, failureCount: member.failureCount + 1});
		},
		tryGetMember: name => members.get(name),
		getAvailable: (pool, now) => [...members.values()].filter(member => member.server.pool === pool && isAvailable(member, now)),
		getMembers: () => members.values(),
	};
}
