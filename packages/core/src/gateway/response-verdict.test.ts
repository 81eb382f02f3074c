/**
Tests what the head of a response states of whether its endpoint has run the request.
*/
import {describe, expect, test} from 'vitest';
import {notRunStatuses} from '../errors.js';
import {createFixtureHead} from './gateway-fixtures.js';
import {getRunStatement} from './run-statement.js';

const statuses = Array.from({length: 800}, (_, index) => 200 + index);
const ownSend = {requestId: 'r-1', isRepeated: false} as const;

// Guards against requests that are sent again, or reported as not run, after a response that doesn't state that they have not run.
describe('a response states that its endpoint has not run the request', () => {
	test('with the statement, the id of the request and the status of a refusal, and with no other status', () => {
		const refusals = statuses.filter(status => getRunStatement(createFixtureHead({status, isNotRun: true, hasStamp: false}), ownSend) === 'notRun');
		expect(refusals).toEqual([408, 421, 429, 503]);
	});

	test.each([...notRunStatuses])('not with status %i alone', status => {
		expect(getRunStatement(createFixtureHead({status}), ownSend)).toBe('unproven');
	});

	test.each([...notRunStatuses])('not with status %i if the request was sent to the address before, since it may answer the send before', status => {
		expect(getRunStatement(createFixtureHead({status, isNotRun: true}), {...ownSend, isRepeated: true})).toBe('repeated');
	});

	test.each([...notRunStatuses])('not with status %i if the request has no id, since it may answer another one without', status => {
		for (const requestId of [undefined, '']) {
			expect(getRunStatement(createFixtureHead({status, isNotRun: true, requestId}), {...ownSend, requestId: ''})).toBe('unproven');
		}
	});

	test('not with the id of another request, or without an id', () => {
		for (const status of statuses) {
			for (const requestId of ['r-0', '', undefined]) {
				expect(getRunStatement(createFixtureHead({status, isNotRun: true, requestId}), ownSend)).toBe('foreign');
			}

			expect(getRunStatement(createFixtureHead({status, isNotRun: true, requestId: 'r-1'}), {...ownSend, requestId: ''})).toBe('foreign');
		}
	});
});
