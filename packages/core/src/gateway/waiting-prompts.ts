/**
Order of the prompts that wait at one gateway for room: the most urgent first, among equally urgent ones that of the
organisation with the least recent work, and then the earliest.

Answers several long prompts that wait at once: retried each by its own timer, whichever came first after room had become
free would take it. All are retried at the same times instead, in this order.
*/
import type {Milliseconds, Timestamp} from '../types.js';
import type {GatewayRequest, RequestKey} from './gateway-types.js';
import type {OrganisationWork} from './organisation-work.js';

export type WaitingPrompts = Readonly<{
	/** Adds a request; returns whether it didn't wait before. */
	add(request: GatewayRequest): boolean;
	remove(key: RequestKey): void;
	/** Returns whether a more urgent request of the same service waits. */
	hasMoreUrgent(request: GatewayRequest): boolean;
	/** Returns when the waiting requests are retried next. */
	getRetryAt(now: Timestamp): Timestamp;
	/** Returns the keys with those of waiting requests at the end, in the order in which these are to be retried. */
	rank(keys: readonly RequestKey[], now: Timestamp): readonly RequestKey[];
}>;

/** Interval at which waiting prompts are retried. */
const retryIntervalMs: Milliseconds = 200;

/** Creates a list without waiting requests. It holds open requests only, whose number the gateway bounds. */
export function createWaitingPrompts(organisationWork: OrganisationWork): WaitingPrompts {
	const waiting = new Map<RequestKey, GatewayRequest>();

	function compareRequests(left: GatewayRequest, right: GatewayRequest, now: Timestamp): number {
		const getWorkMs = ({organisation = ''}: GatewayRequest): Milliseconds => organisationWork.getWorkMs(organisation, now);
		return (left.priority - right.priority) || (getWorkMs(left) - getWorkMs(right)) || (left.arrivedAt - right.arrivedAt);
	}

	return {
		add(request) {
			const isNew = !waiting.has(request.key);
			waiting.set(request.key, request);
			return isNew;
		},
		remove(key) {
			waiting.delete(key);
		},
		hasMoreUrgent({service, priority}) {
			for (const other of waiting.values()) {
				if (other.service === service && other.priority < priority) {
					return true;
				}
			}

			return false;
		},
		getRetryAt: now => (Math.floor(now / retryIntervalMs) + 1) * retryIntervalMs,
		rank(keys, now) {
			if (waiting.size === 0) {
				return keys;
			}

			const requests = keys.flatMap(key => waiting.get(key) ?? []);
			return [
				...keys.filter(key => !waiting.has(key)),
				...requests.toSorted((left, right) => compareRequests(left, right, now)).map(({key}) => key),
			];
		},
	};
}
