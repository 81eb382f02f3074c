/**
The queue of attempts that wait to start on an agent's server.

Attempts are ordered by class. Ageing promotes an attempt to more urgent classes, so that a steady load of short prompts
can't starve a long one. Within a class, the organisation that has been served the fewest tokens goes first, and then
the attempt that arrived first.

A long prompt may not fit where smaller ones still do. Once ageing has promoted it to the most urgent class, no other
long prompt may overtake it, so that the capacity it needs becomes free.
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
	/** Removes and returns the next attempt for which `canStart` returns true. */
	tryTake(canStart: (item: QueuedAttempt) => boolean, now: Timestamp): QueuedAttempt | undefined;
	getSize(): number;
	/** Returns the queued prompt tokens of a class. */
	getTokens(promptClass: PromptClass): TokenCount;
}>;

/** Creates an empty queue. */
export function createWorkQueue(ageingIntervalMs: Milliseconds): WorkQueue {
	let items: readonly QueuedAttempt[] = [];
	/** Tokens served so far by organisation; within a class, the lowest count goes first. */
	const servedTokens = new Map<OrganisationName, TokenCount>();

	/** Returns the index of the item's class after ageing; 0 is the most urgent. */
	function getEffectivePriority(item: QueuedAttempt, now: Timestamp): number {
		const promotionCount = Math.floor((now - item.queuedAt) / ageingIntervalMs);
		return Math.max(0, promptClasses.indexOf(item.promptClass) - promotionCount);
	}

	function getServedTokens(item: QueuedAttempt): TokenCount {
		return servedTokens.get(item.organisation) ?? 0;
	}

	function compareItems(left: QueuedAttempt, right: QueuedAttempt, now: Timestamp): number {
		return getEffectivePriority(left, now) - getEffectivePriority(right, now)
			|| getServedTokens(left) - getServedTokens(right)
			|| left.queuedAt - right.queuedAt;
	}

	function findNext(canStart: (item: QueuedAttempt) => boolean, now: Timestamp): QueuedAttempt | undefined {
		const startable = items.filter(item => canStart(item));
		if (startable.length === 0) {
			return undefined;
		}

		const isLongPromptStarved = items.some(item => item.promptClass === 'long' && getEffectivePriority(item, now) === 0 && !startable.includes(item));
		const allowed = isLongPromptStarved ? startable.filter(item => item.promptClass !== 'long') : startable;
		const [next] = allowed.toSorted((left, right) => compareItems(left, right, now));
		return next;
	}

	/** Raises an organisation's count to the lowest one in the queue, so that it gains no credit while it has nothing queued. */
	function setInitialServedTokens(organisation: OrganisationName): void {
		const queuedServedTokens = items.map(item => getServedTokens(item));
		const lowestServedTokens = queuedServedTokens.length === 0 ? 0 : Math.min(...queuedServedTokens);
		servedTokens.set(organisation, Math.max(servedTokens.get(organisation) ?? 0, lowestServedTokens));
	}

	/** Adds the tokens of a started item to its organisation's count; resets all counts once the queue is empty. */
	function recordServedTokens(item: QueuedAttempt): void {
		if (items.length === 0) {
			servedTokens.clear();
			return;
		}

		servedTokens.set(item.organisation, getServedTokens(item) + item.tokens);
	}

	return {
		add(item) {
			if (!items.some(other => other.organisation === item.organisation)) {
				setInitialServedTokens(item.organisation);
			}

			items = [...items, item];
		},
		remove(attemptId) {
			items = items.filter(item => item.attemptId !== attemptId);
		},
		tryTake(canStart, now) {
			const next = findNext(canStart, now);
			if (next === undefined) {
				return undefined;
			}

			items = items.filter(item => item !== next);
			recordServedTokens(next);
			return next;
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
