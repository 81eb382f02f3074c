/**
Tests what the head of a response states of whether its endpoint has run the request.
*/
import {describe, expect, test} from 'vitest';
import {notRunStatuses} from '../errors.js';
import {createFixtureHead} from './gateway-fixtures.js';
import {getResponseVerdict} from './response-verdict.js';

const statuses = Array.from({length: 800}, (_, index) => 200 + index);
const ownId = 'r-1';

// Guards against requests that are sent again, or reported as not run, after a response that doesn't state that they have not run.
describe('a response states that its endpoint has not run the request', () => {
	test('with the statement, the id of the request and the status of a refusal, and with no other status', () => {
		const refusals = statuses.filter(status => getResponseVerdict(createFixtureHead({status, isNotRun: true, hasStamp: false}), ownId) === 'notRun');
		expect(refusals).toEqual([408, 421, 429, 503]);
	});

	test.each([...notRunStatuses])('not with status %i alone', status => {
		expect(getResponseVerdict(createFixtureHead({status}), ownId)).toBe('unproven');
	});

	test.each([...notRunStatuses])('not with status %i if the request has no id, since it may answer another one without', status => {
		for (const requestId of [undefined, '']) {
			expect(getResponseVerdict(createFixtureHead({status, isNotRun: true, requestId}), '')).toBe('unproven');
		}
	});

	test('not with the id of another request, or without an id', () => {
		for (const status of statuses) {
			for (const requestId of ['r-0', '', undefined]) {
				expect(getResponseVerdict(createFixtureHead({status, isNotRun: true, requestId}), ownId)).toBe('foreign');
			}

			expect(getResponseVerdict(createFixtureHead({status, isNotRun: true, requestId: 'r-1'}), '')).toBe('foreign');
		}
	});
});
