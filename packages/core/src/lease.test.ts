/**
Tests leases with paused processes, slow calls and lost responses. Two processes must never hold a lease at the same time,
and fencing numbers must increase with each new holder.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createJobQueue} from './job-queue.js';
import {
	createLease, type Lease, type LeaseAction, type LeaseEvent, type StoredLease,
} from './lease.js';
import {createOrderFencing} from './order-fencing.js';
import type {Timestamp} from './types.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '1000'),
};

const durationMs = 1000;
const endAt = 20_000;
const holderCount = 3;

type Pause = Readonly<{holder: number; from: Timestamp; lengthMs: number}>;
type HolderObservation = Readonly<{holder: number; fencingNumber: number; at: Timestamp}>;

/** Runs several holders against one stored lease. Returns which of them held it, observed every 10 ms. */
function runHolders(pauses: readonly Pause[], delaysMs: readonly number[], lostResponses: readonly boolean[]): readonly HolderObservation[] {
	const leases: Lease[] = Array.from({length: holderCount}, (_, holder) => createLease({holder: `h${holder}`, durationMs, retryDelayMs: 50}));
	const observations: HolderObservation[] = [];
	let stored: StoredLease | undefined;
	const jobs = createJobQueue();
	let now = 0;
	let callCount = 0;

	function schedule(at: Timestamp, run: () => void): void {
		jobs.add(at, run);
	}

	function getDelayMs(): number {
		callCount += 1;
		return delaysMs[callCount % delaysMs.length] ?? 1;
	}

	/** Returns the earliest time from `at` on at which a holder is not paused. */
	function getNextActiveAt(holder: number, at: Timestamp): Timestamp {
		const pause = pauses.find(item => item.holder === holder && at >= item.from && at < item.from + item.lengthMs);
		return pause === undefined ? at : getNextActiveAt(holder, pause.from + pause.lengthMs);
	}

	function step(holder: number, event: LeaseEvent): void {
		const activeAt = getNextActiveAt(holder, now);
		if (activeAt > now) {
			schedule(activeAt, () => {
				step(holder, event);
			});
			return;
		}

		for (const action of leases[holder]?.step(event, now) ?? []) {
			perform(holder, action);
		}
	}

	function write(action: Extract<LeaseAction, {kind: 'writeLease'}>): 'created' | 'exists' {
		if (stored?.version !== action.version) {
			return 'exists';
		}

		stored = {record: action.record, version: (stored?.version ?? 0) + 1};
		return 'created';
	}

	function perform(holder: number, action: LeaseAction): void {
		schedule(now + getDelayMs(), () => {
			const isResponseLost = lostResponses[callCount % Math.max(1, lostResponses.length)] === true;
			const read = stored;
			const outcome = action.kind === 'writeLease' ? write(action) : undefined;
			schedule(now + getDelayMs(), () => {
				step(holder, outcome === undefined ? {kind: 'leaseRead', stored: read} : {kind: 'writeAnswered', outcome: isResponseLost ? 'unknown' : outcome});
			});
		});
	}

	function observeHolders(): void {
		for (const [holder, lease] of leases.entries()) {
			const fencingNumber = lease.tryGetFencingNumber(now);
			if (fencingNumber !== undefined) {
				observations.push({holder, fencingNumber, at: now});
			}

			step(holder, {kind: 'timePassed'});
		}
	}

	for (let at = 0; at <= endAt; at += 10) {
		schedule(at, observeHolders);
	}

	for (let job = jobs.tryTake(); job !== undefined && job.at <= endAt; job = jobs.tryTake()) {
		now = job.at;
		job.run();
	}

	return observations;
}

const pause: fc.Arbitrary<Pause> = fc.record({
	holder: fc.nat({max: holderCount - 1}), from: fc.nat({max: endAt / 2}), lengthMs: fc.integer({min: 10, max: 5000}),
});

describe('lease', () => {
	test('has at most one holder at a time and a higher fencing number with each new holder', () => {
		const scenario = fc.record({
			pauses: fc.array(pause, {maxLength: 4}),
			delaysMs: fc.array(fc.integer({min: 1, max: 400}), {minLength: 1, maxLength: 7}),
			lostResponses: fc.array(fc.boolean(), {maxLength: 5}),
		});
		fc.assert(fc.property(scenario, ({pauses, delaysMs, lostResponses}) => {
			let last: HolderObservation | undefined;
			for (const observation of runHolders(pauses, delaysMs, lostResponses)) {
				const isNewHolder = last !== undefined && observation.holder !== last.holder;
				expect(isNewHolder && observation.at === last?.at).toBe(false);
				expect(observation.fencingNumber).toBeGreaterThanOrEqual((last?.fencingNumber ?? 0) + (isNewHolder ? 1 : 0));
				last = observation;
			}
		}), {...parameters, numRuns: Math.ceil(parameters.numRuns / 10)});
	});

	test('is held most of the time and moves to one other holder when its holder is paused', () => {
		const observations = runHolders([{holder: 0, from: 5000, lengthMs: 10_000}], [3], []);
		const holders = new Set(observations.filter(({at}) => at > 9000 && at < 15_000).map(({holder}) => holder));
		expect(holders.size).toBe(1);
		expect(new Set(observations.map(({at}) => at)).size).toBeGreaterThan(endAt / 10 * 0.8);
	});
});

describe('order fencing', () => {
	const desiredState = {model: 'base', version: '2', role: 'serve'};

	test('refuses an order whose fencing number is lower than one seen before or the one stored in the lease', () => {
		const orderFencing = createOrderFencing();
		const check = (fencingNumber: number, stored: number) => orderFencing.checkOrder({leaseName: 'orders', fencingNumber, desiredState}, stored)?.kind;
		expect(check(2, 2)).toBeUndefined();
		expect(check(1, 0)).toBe('refused');
		expect(check(2, 2)).toBeUndefined();
		expect(check(2, 3)).toBe('refused');
	});
});
