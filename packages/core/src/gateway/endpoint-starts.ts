/**
How slow endpoints are in the seconds after their start, learned from those that were seen to start.

The load that it answers: endpoints that join, or that replace others, and are slow until they have warmed up. Each gateway would
have to send them requests to learn so. What earlier starts of the service showed, by age, stands for a new endpoint until its own
responses are known. The age counts from the first list that has the process: clocks of other hosts aren't compared. Of the
processes in a gateway's first list, the start isn't known.
*/
import {LRUCache} from 'lru-cache';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EndpointId, ListedEndpoint} from './gateway-types.js';
import {getAverageRatio, getUpdatedAverage, type LogAverage} from './log-average.js';

export type EndpointStarts = Readonly<{
	/** Applies a complete list, and returns the endpoints whose process is new in it. */
	applyList(endpoints: readonly ListedEndpoint[], now: Timestamp): readonly EndpointId[];
	/** Returns whether the endpoint is known to have started within the last seconds. */
	isStarting(endpoint: EndpointId, now: Timestamp): boolean;
	/** Returns the factor by which endpoints of its service and age were slower than the service; 1 unless it has just started. */
	getPace(endpoint: EndpointId, now: Timestamp): number;
	/** Learns from a response of an endpoint, unless it started longer ago. */
	learn(endpoint: EndpointId, ratio: number, now: Timestamp): void;
}>;

type SeenProcess = Readonly<{service: string; address: string; startedAt: number; seenAt: Timestamp}>;

/** Upper bounds of the ages that are told apart; a start is over after the last one. */
const ageBoundsMs: readonly Milliseconds[] = [1000, 2000, 4000, 8000, 16_000];
const halfLifeMs: Milliseconds = 300_000;
/** Observations of usual pace that each age of a service starts with. */
const prior = {ratio: 1, weight: 2};
const maximumTrackedEndpoints = 20_000;
const maximumTrackedAges = 5000;

/** Creates a record without lists. */
export function createEndpointStarts(): EndpointStarts {
	const processes = new LRUCache<EndpointId, SeenProcess>({max: maximumTrackedEndpoints});
	const averages = new LRUCache<string, LogAverage>({max: maximumTrackedAges});
	let hasList = false;

	function tryGetAgeKey(endpoint: EndpointId, now: Timestamp): string | undefined {
		const seen = processes.get(endpoint);
		const index = seen === undefined ? -1 : ageBoundsMs.findIndex(boundMs => now - seen.seenAt < boundMs);
		return seen === undefined || index === -1 ? undefined : `${seen.service}\n${index}`;
	}

	return {
		applyList(endpoints, now) {
			const added = endpoints.filter(({id, address, startedAt}) => {
				const seen = processes.get(id);
				return seen?.startedAt !== startedAt || seen.address !== address;
			});
			for (const {id, service, address, startedAt} of added) {
				processes.set(id, {
					service, address, startedAt, seenAt: hasList ? now : Number.NEGATIVE_INFINITY,
				});
			}

			hasList = true;
			return added.map(({id}) => id);
		},
		isStarting: (endpoint, now) => tryGetAgeKey(endpoint, now) !== undefined,
		getPace(endpoint, now) {
			const key = tryGetAgeKey(endpoint, now);
			return key === undefined ? 1 : getAverageRatio(averages.get(key), prior, halfLifeMs, now);
		},
		learn(endpoint, ratio, now) {
			const key = tryGetAgeKey(endpoint, now);
			if (key !== undefined) {
				averages.set(key, getUpdatedAverage(averages.get(key), ratio, halfLifeMs, now));
			}
		},
	};
}
