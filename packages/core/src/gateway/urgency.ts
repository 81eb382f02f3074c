/**
Urgency: what requests of different priorities of one service are worth beside each other while there is less room than
work.

Answers a load of many short, urgent prompts beside few long, less urgent ones on the same servers, in a mix that swings
within seconds. The prefill of a long prompt delays all streams beside it, so a policy that goes by prompt length alone
lets the less urgent pass. Here a request outweighs several of the next urgency, in the choice of servers and in the
decision which prompt waits.

The weights are relative and the same at any load. There is no overload mode that gateways with different views could
enter at different times, and without room that is short nobody waits.

A service whose requests all have the same priority has one level, and nothing of this applies to it.
*/
import type {Milliseconds, Timestamp} from '../types.js';
import {getHashFraction} from './endpoint-ranking.js';
import type {GatewayRequest, ServingConfiguration} from './gateway-types.js';

/** The different priorities of a service's requests, the most urgent first. */
export type UrgencyLevels = readonly number[];

/** Priority of a request, and the levels of its service. */
export type Urgency = Readonly<{priority: number; levels: UrgencyLevels}>;

/** Number of requests of the next level that a request outweighs. */
const weightPerLevel = 4;
/** Number of levels beyond which the weight grows no further. */
const maximumWeighedLevels = 3;
/** Lowest priority that endpoints know. */
const maximumAdmissionPriority = 9;
/** Multiple of the predicted time to the first event that must remain until its target for a prompt to wait for more urgent ones. */
const waitMarginFactor = 1.3;

/** Share of its target for which a prompt waits for memory; the rest is for its prefill. */
const memoryWaitShare = 0.5;

/** Levels of a service whose requests have all the same priority. */
export const singleLevel: UrgencyLevels = [0];

/** Returns the levels of each service that has more than one. */
export function getUrgencyLevels({routes, organisations, organisationsByKey}: ServingConfiguration): ReadonlyMap<string, UrgencyLevels> {
	const holders = organisationsByKey === undefined ? [] : [...new Set(organisationsByKey.values())];
	const organisationPriorities = new Set(holders.map(name => organisations.get(name)?.priority));
	const prioritiesByService = new Map<string, Set<number>>();
	for (const route of routes) {
		const priorities = route.isPublic || organisationPriorities.size === 0 ? [undefined] : organisationPriorities;
		for (const {service} of route.services) {
			const known = prioritiesByService.get(service) ?? new Set();
			prioritiesByService.set(service, known);
			for (const priority of priorities) {
				known.add(priority ?? route.priority);
			}
		}
	}

	return new Map([...prioritiesByService]
		.filter(([, priorities]) => priorities.size > 1)
		.map(([service, priorities]) => [service, [...priorities].toSorted((left, right) => left - right)]));
}

/** Returns whether the levels tell requests apart. */
export function hasUrgency(levels: UrgencyLevels): boolean {
	return levels.length > 1;
}

/** Returns whether a service has requests that are more urgent. */
export function hasMoreUrgentLevel({priority, levels}: Urgency): boolean {
	return hasUrgency(levels) && priority > (levels[0] ?? priority);
}

/** Returns the priority of the next less urgent requests of a service, or `undefined` if there are none. */
export function tryGetNextPriority({priority, levels}: Urgency): number | undefined {
	return levels.find(level => level > priority);
}

/** Returns the number of levels that are more urgent than the priority. */
function getLevel(levels: UrgencyLevels, priority: number): number {
	let level = 0;
	while (level < levels.length && (levels[level] ?? priority) < priority) {
		level += 1;
	}

	return level;
}

/**
Returns the weight of a request with the other priority, in what one of the given urgency costs it. The less urgent counts
in full: an urgent prompt that could delay it at a discount would be split less, and delay many.
*/
export function getRelativeWeight({priority, levels}: Urgency, otherPriority: number): number {
	if (!hasUrgency(levels) || priority <= otherPriority) {
		return 1;
	}

	const difference = getLevel(levels, priority) - getLevel(levels, otherPriority);
	return weightPerLevel ** Math.min(maximumWeighedLevels, difference);
}

/** Returns the priority by which an endpoint admits a request to its batch, or `undefined` if its service has one level. */
export function tryGetAdmissionPriority({priority, levels}: Urgency): number | undefined {
	return hasUrgency(levels) ? Math.max(0, Math.min(maximumAdmissionPriority, Math.round(priority))) : undefined;
}

/** What a prompt would cost more urgent ones if it were placed now, and what its own lateness costs. */
export type WaitCase = Readonly<{firstEventMs: Milliseconds; interferenceCost: number; ownWeight: number}>;

/**
Returns whether a prompt waits since it would cost more urgent ones more than it is worth itself. It waits only if it can
still meet its own target when it is retried, so that no stream of urgent requests keeps it from being served.
*/
export function isWaitingForUrgent(
	{route, arrivedAt}: Pick<GatewayRequest, 'route' | 'arrivedAt'>,
	{firstEventMs, interferenceCost, ownWeight}: WaitCase,
	retryAt: Timestamp,
): boolean {
	return interferenceCost > ownWeight && retryAt + (firstEventMs * waitMarginFactor) < arrivedAt + route.objectiveMs;
}

/** Returns whether a prompt can wait until the servers that are not left to more urgent ones have memory for it. */
export function canWaitForMemory({route, arrivedAt}: Pick<GatewayRequest, 'route' | 'arrivedAt'>, now: Timestamp): boolean {
	return now < arrivedAt + (route.objectiveMs * memoryWaitShare);
}

/** Returns a time to come back between once and twice the given one, which differs between requests. */
export function getSpreadRetryMs(retryMs: Milliseconds, requestId: string, levels: UrgencyLevels): Milliseconds {
	return hasUrgency(levels) ? Math.ceil(retryMs * (1 + getHashFraction(requestId))) : retryMs;
}
