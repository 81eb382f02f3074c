/**
The order in which an agent hands attempts to its server.

Attempts are served by class, and within a class in order of arrival. Waiting raises an attempt's class, so that a
stream of short prompts can't starve a long one. Organisations of one class take turns.

A long prompt may not fit while smaller ones still do. Once it has waited long enough to count as urgent, no other long
prompt passes it, so that what it needs becomes free.
*/
import {promptClasses} from './prompt-class.js';
import type {
	AttemptId, Milliseconds, OrganisationName, PromptClass, Timestamp, TokenCount,
} from './types.js';

export type QueuedAttempt = Readonly<{
	attemptId: AttemptId;
	organisation: OrganisationName;
	promptClass: PromptClass;
	tokens: TokenCount;
	queuedAt: Timestamp;
}>;

export type WorkQueue = Readonly<{
	add(item: QueuedAttempt): void;
	remove(attemptId: AttemptId): void;
	/** Takes the next attempt for which `canStart` holds. */
	tryTake(canStart: (item: QueuedAttempt) => boolean, now: Timestamp): QueuedAttempt | undefined;
	getSize(): number;
	getTokens(promptClass: PromptClass): TokenCount;
}>;

/** Creates an empty queue. */
export function createWorkQueue(ageingMs: Milliseconds): WorkQueue {
	let items: readonly QueuedAttempt[] = [];
	/** Tokens served so far by organisation; the one that had least goes first within a class. */
	const served = new Map<OrganisationName, TokenCount>();

	function getRank(item: QueuedAttempt, now: Timestamp): number {
		const aged = Math.floor((now - item.queuedAt) / ageingMs);
		return Math.max(0, promptClasses.indexOf(item.promptClass) - aged);
	}

	function getServed(item: QueuedAttempt): TokenCount {
		return served.get(item.organisation) ?? 0;
	}

	function compare(left: QueuedAttempt, right: QueuedAttempt, now: Timestamp): number {
		return getRank(left, now) - getRank(right, now)
			|| getServed(left) - getServed(right)
			|| left.queuedAt - right.queuedAt;
	}

	function findFirst(canStart: (item: QueuedAttempt) => boolean, now: Timestamp): QueuedAttempt | undefined {
		const startable = items.filter(item => canStart(item));
		if (startable.length === 0) {
			return undefined;
		}

		const isBlocked = items.some(item => item.promptClass === 'long' && getRank(item, now) === 0 && !startable.includes(item));
		const allowed = isBlocked ? startable.filter(item => item.promptClass !== 'long') : startable;
		const [first] = allowed.toSorted((left, right) => compare(left, right, now));
		return first;
	}

	/** An organisation that comes back after a rest starts level with the others, without credit for the rest. */
	function setServedLevel(organisation: OrganisationName): void {
		const waiting = items.map(item => getServed(item));
		const lowest = waiting.length === 0 ? 0 : Math.min(...waiting);
		served.set(organisation, Math.max(served.get(organisation) ?? 0, lowest));
	}

	function recordServed(item: QueuedAttempt): void {
		if (items.length === 0) {
			served.clear();
			return;
		}

		served.set(item.organisation, getServed(item) + item.tokens);
	}

	return {
		add(item) {
			if (!items.some(other => other.organisation === item.organisation)) {
				setServedLevel(item.organisation);
			}

			items = [...items, item];
		},
		remove(attemptId) {
			items = items.filter(item => item.attemptId !== attemptId);
		},
		tryTake(canStart, now) {
			const first = findFirst(canStart, now);
			if (first === undefined) {
				return undefined;
			}

			items = items.filter(item => item !== first);
			recordServed(first);
			return first;
		},
		getSize: () => items.length,
		getTokens(promptClass) {
			let tokens = 0;
			for (const item of items) {
				tokens += item.promptClass === promptClass ? item.tokens : 0;
			}

			return tokens;
		},
	};
}
