/**
Tests the limits of organisations at one entry and across several entries.
*/
import {describe, expect, test} from 'vitest';
import {createAdmissionControl} from './admission.js';
import type {Organisation} from './types.js';

const organisation: Organisation = {
	keySha256: '', requestsPerSecond: 10, tokensPerSecond: 1000, concurrentRequests: 4,
};

describe('admission control', () => {
	test('limits the request rate over time and returns a retry delay with each refusal', () => {
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

		// 10 requests per second for 10 seconds, plus a burst of 2 seconds.
		expect(admitted).toBeGreaterThanOrEqual(110);
		expect(admitted).toBeLessThanOrEqual(121);
	});

	test('admits a prompt larger than the burst and refuses later requests until the balance is refilled', () => {
		const admission = createAdmissionControl();
		expect(admission.admit('o', organisation, 10_000, 0)).toBeUndefined();
		expect(admission.admit('o', organisation, 1, 1000)).toMatchObject({kind: 'rateLimited'});
		expect(admission.admit('o', organisation, 1, 9000)).toBeUndefined();
	});

	test('counts a request as concurrent until it ends', () => {
		const admission = createAdmissionControl();
		const failures = [0, 1, 2, 3, 4].map(() => admission.admit('o', organisation, 0, 0)?.kind);
		expect(failures).toEqual([undefined, undefined, undefined, undefined, 'rateLimited']);
		admission.recordEnd('o');
		expect(admission.admit('o', organisation, 0, 0)).toBeUndefined();
	});

	test('admits the configured rate across three entries, plus at most one request per entry', () => {
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
