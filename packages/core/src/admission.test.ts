/**
Limits of organisations, and what several entries make of them.
*/
import {describe, expect, test} from 'vitest';
import {createAdmissionControl} from './admission.js';
import type {Organisation} from './types.js';

const organisation: Organisation = {
	keySha256: '', requestsPerSecond: 10, tokensPerSecond: 1000, concurrentRequests: 4,
};

describe('admission', () => {
	test('a rate is held over time, and the refusal says when to come back', () => {
		const admission = createAdmissionControl();
		let admitted = 0;
		for (let now = 0; now < 10_000; now += 10) {
			const failure = admission.admit('o', organisation, 0, now);
			if (failure === undefined) {
				admitted += 1;
				admission.recordEnd('o');
			} else {
				expect(failure).toMatchObject({kind: 'rateLimited', ran: 'no'});
				expect(failure.retryAfterMs).toBeLessThanOrEqual(100);
			}
		}

		// Ten a second for ten seconds, and what was saved up for two.
		expect(admitted).toBeGreaterThanOrEqual(110);
		expect(admitted).toBeLessThanOrEqual(121);
	});

	test('a prompt larger than the burst passes, and is paid for afterwards', () => {
		const admission = createAdmissionControl();
		expect(admission.admit('o', organisation, 10_000, 0)).toBeUndefined();
		expect(admission.admit('o', organisation, 1, 1000)).toMatchObject({kind: 'rateLimited'});
		expect(admission.admit('o', organisation, 1, 9000)).toBeUndefined();
	});

	test('concurrency is counted until the end of each request', () => {
		const admission = createAdmissionControl();
		const failures = [0, 1, 2, 3, 4].map(() => admission.admit('o', organisation, 0, 0)?.kind);
		expect(failures).toEqual([undefined, undefined, undefined, undefined, 'rateLimited']);
		admission.recordEnd('o');
		expect(admission.admit('o', organisation, 0, 0)).toBeUndefined();
	});

	test('three entries together let in the rate, and at most one more burst of one request each', () => {
		const entries = [createAdmissionControl(), createAdmissionControl(), createAdmissionControl()];
		let admitted = 0;
		for (const admission of entries) {
			admission.setEntryCount(entries.length);
			for (let now = 0; now < 10_000; now += 10) {
				const isAdmitted = admission.admit('o', organisation, 0, now) === undefined;
				admitted += isAdmitted ? 1 : 0;
				if (isAdmitted) {
					admission.recordEnd('o');
				}
			}
		}

		expect(admitted).toBeGreaterThanOrEqual(110);
		expect(admitted).toBeLessThanOrEqual(123);
	});
});
