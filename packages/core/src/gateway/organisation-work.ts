/**
Recent work of each organisation: the prefill time of its prompts that this gateway has placed, decaying over time.

Answers few large organisations beside many small ones: an organisation that sends long prompts takes more of the servers
than one that sends as many short ones, so the order among waiting prompts goes by work and not by number.
*/
import {LRUCache} from 'lru-cache';
import type {Milliseconds, Timestamp} from '../types.js';

export type OrganisationWork = Readonly<{
	record(organisation: string, workMs: Milliseconds, now: Timestamp): void;
	/** Returns the work of an organisation, of which half is forgotten in each half-life. */
	getWorkMs(organisation: string, now: Timestamp): Milliseconds;
}>;

const halfLifeMs: Milliseconds = 10_000;
/** Number of organisations whose work is kept; the ones with the oldest work are dropped first, which by then has decayed. */
const maximumOrganisations = 4096;

/** Creates a record without work. */
export function createOrganisationWork(): OrganisationWork {
	const workByOrganisation = new LRUCache<string, Readonly<{workMs: Milliseconds; recordedAt: Timestamp}>>({max: maximumOrganisations});

	function getWorkMs(organisation: string, now: Timestamp): Milliseconds {
		const work = workByOrganisation.peek(organisation);
		return work === undefined ? 0 : work.workMs * (0.5 ** ((now - work.recordedAt) / halfLifeMs));
	}

	return {
		record(organisation, workMs, now) {
			workByOrganisation.set(organisation, {workMs: getWorkMs(organisation, now) + workMs, recordedAt: now});
		},
		getWorkMs,
	};
}
