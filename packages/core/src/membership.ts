/**
Tracks which servers exist and whether they may be given new work.

The host list names the existing servers, but may be stale. An agent reports the state of its server. Within one
incarnation the state only advances from `serving` to `draining` to `gone`; neither a stale host list nor a delayed
message reverts it. A new incarnation starts without this history, and reports of previous incarnations are ignored.
*/
import type {
	AgentStatus, Incarnation, Milliseconds, PoolName, Server, ServerName, ServingState, Timestamp,
} from './types.js';

const stateOrder = {serving: 0, draining: 1, gone: 2} as const satisfies Readonly<Record<ServingState, number>>;

/** Number of previous incarnations that are remembered for each server. */
const maximumPreviousIncarnations = 8;

export type MembershipSettings = Readonly<{
	/** Backoff after the first failure to reach a server. It doubles with each consecutive failure. */
	initialBackoffMs: Milliseconds;
	maximumBackoffMs: Milliseconds;
}>;

/** A server and the last status reported by its agent. */
export type Member = Readonly<{
	server: Server;
	status: AgentStatus | undefined;
	statusAt: Timestamp;
	unreachableUntil: Timestamp;
	failureCount: number;
	previousIncarnations: readonly Incarnation[];
	/** Whether the host list marks the host as leaving. */
	isLeaving: boolean;
}>;

/** One entry of the host list. */
export type HostListing = Readonly<{server: Server; isLeaving: boolean}>;

export type Membership = Readonly<{
	applyHostList(listings: readonly HostListing[]): void;
	applyStatus(status: AgentStatus, now: Timestamp): void;
	/** Records a failure to reach the server, which is not given new work until the backoff ends. */
	recordUnreachable(name: ServerName, now: Timestamp): void;
	tryGetMember(name: ServerName): Member | undefined;
	/** Returns the members of a pool that may be given new work. */
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
		previousIncarnations: [],
		isLeaving: listing.isLeaving,
	};
}

/** Returns whether the member may be given new work. */
export function isAvailable(member: Member, now: Timestamp): boolean {
	const state = member.status?.state ?? 'serving';
	return state === 'serving' && !member.isLeaving && member.unreachableUntil <= now;
}

/** Merges a status report into a member. Returns the member unchanged if the report is from a previous incarnation. */
export function mergeStatus(member: Member, status: AgentStatus, now: Timestamp): Member {
	const {incarnation} = status.permit;
	if (member.previousIncarnations.includes(incarnation)) {
		return member;
	}

	const current = member.status;
	if (current !== undefined && current.permit.incarnation !== incarnation) {
		const previousIncarnations = [...member.previousIncarnations, current.permit.incarnation].slice(-maximumPreviousIncarnations);
		return {
			...member, status, statusAt: now, unreachableUntil: 0, failureCount: 0, previousIncarnations,
		};
	}

	const isOlder = current !== undefined && status.permit.stampedAt < current.permit.stampedAt;
	const newest = isOlder ? current : status;
	const state = current !== undefined && stateOrder[current.state] > stateOrder[status.state] ? current.state : status.state;
	return {
		...member, status: {...newest, state}, statusAt: now, unreachableUntil: 0, failureCount: 0,
	};
}

/** Creates a membership without servers. */
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
