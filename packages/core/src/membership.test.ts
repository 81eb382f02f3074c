/**
Tests which reports determine whether a server may be given new work.
*/
import {describe, expect, test} from 'vitest';
import {createFixtureListings, createFixtureServer, createFixtureStatus} from './fixtures.js';
import {createMembership, type Membership} from './membership.js';
import type {ServingState} from './types.js';

const server = createFixtureServer('m1', 'models');

function createFixtureMembership(): Membership {
	const membership = createMembership({initialBackoffMs: 500, maximumBackoffMs: 2000});
	membership.applyHostList(createFixtureListings([server]));
	return membership;
}

function applyState(membership: Membership, state: ServingState, incarnation: string, now: number): void {
	membership.applyStatus({...createFixtureStatus('m1', incarnation, now), state}, now);
}

function isAvailable(membership: Membership, now: number): boolean {
	return membership.getAvailable('models', now).length === 1;
}

describe('membership', () => {
	test('keeps a server in the draining state after a delayed status report and a new host list', () => {
		const membership = createFixtureMembership();
		applyState(membership, 'draining', 'i1', 10);
		applyState(membership, 'serving', 'i1', 5);
		membership.applyHostList(createFixtureListings([server]));
		expect(isAvailable(membership, 20)).toBe(false);
	});

	test('makes a server available again with a new incarnation and ignores reports of the previous one', () => {
		const membership = createFixtureMembership();
		applyState(membership, 'draining', 'i1', 10);
		applyState(membership, 'serving', 'i2', 20);
		expect(isAvailable(membership, 21)).toBe(true);
		applyState(membership, 'gone', 'i1', 30);
		expect(isAvailable(membership, 31)).toBe(true);
		expect(membership.tryGetMember('m1')?.status?.permit.incarnation).toBe('i2');
	});

	test('makes a server unavailable when the host list marks it as leaving, although its agent reports that it is serving', () => {
		const membership = createFixtureMembership();
		applyState(membership, 'serving', 'i1', 10);
		membership.applyHostList([{server, isLeaving: true}]);
		expect(isAvailable(membership, 20)).toBe(false);
	});

	test('doubles the backoff of an unreachable server up to the maximum and ends it with the next status report', () => {
		const membership = createFixtureMembership();
		const backoffsMs = [0, 1, 2, 3].map(round => {
			const now = round * 10_000;
			membership.recordUnreachable('m1', now);
			return (membership.tryGetMember('m1')?.unreachableUntil ?? 0) - now;
		});
		expect(backoffsMs).toEqual([500, 1000, 2000, 2000]);
		applyState(membership, 'serving', 'i1', 30_001);
		expect(isAvailable(membership, 30_002)).toBe(true);
	});
});
