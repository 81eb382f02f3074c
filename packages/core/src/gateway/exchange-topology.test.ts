import {describe, expect, test} from 'vitest';
import {chooseSubscriptions, type ExchangeMember, type Subscription} from './exchange-topology.js';

function createMembers(dataCentres: readonly string[], countEach: number): readonly ExchangeMember[] {
	return dataCentres.flatMap(dataCentre => Array.from({length: countEach}, (_, index) => ({
		name: `${dataCentre}-${index + 1}`, dataCentre, processorShare: index === 1 ? 0.7 : 0.25,
	})));
}

function formatSubscriptions(members: readonly ExchangeMember[], name: string, unreachable: readonly string[] = [], isRequestedAsRelay = false): readonly string[] {
	const self = members.find(member => member.name === name);
	if (self === undefined) {
		throw new Error('the gateway is not a member');
	}

	const subscriptions: ReadonlyArray<Subscription<ExchangeMember>> = chooseSubscriptions({
		self, otherMembers: members.filter(member => member !== self), isUnreachable: other => unreachable.includes(other), isRequestedAsRelay,
	});
	return subscriptions.map(({member, scope}) => `${member.name} ${scope}`);
}

describe('chooseSubscriptions', () => {
	const smallDeployment = createMembers(['a', 'b'], 2);
	const largeDeployment = createMembers(['a', 'b', 'c'], 4);

	test('a gateway in a small deployment subscribes to all others directly', () => {
		expect(formatSubscriptions(smallDeployment, 'a-1')).toEqual(['a-2 own', 'b-1 own', 'b-2 own']);
	});

	test('a gateway in a large deployment subscribes only to the relay of its data centre, the one with the largest processor share', () => {
		expect(formatSubscriptions(largeDeployment, 'a-1')).toEqual(['a-2 all']);
		expect(formatSubscriptions(largeDeployment, 'c-4')).toEqual(['c-2 all']);
	});

	test('a relay subscribes to all gateways of its data centre and to the relays of the others', () => {
		expect(formatSubscriptions(largeDeployment, 'b-2')).toEqual(['b-1 own', 'b-3 own', 'b-4 own', 'a-2 dataCentre', 'c-2 dataCentre']);
	});

	test('the next gateway by preference becomes the relay if the first is unreachable', () => {
		expect(formatSubscriptions(largeDeployment, 'a-3', ['a-2'])).toEqual(['a-1 all']);
		expect(formatSubscriptions(largeDeployment, 'a-1', ['a-2'])).toEqual(['a-2 own', 'a-3 own', 'a-4 own', 'b-2 dataCentre', 'c-2 dataCentre']);
		expect(formatSubscriptions(largeDeployment, 'b-2', ['a-2'])).toContain('a-1 dataCentre');
	});

	test('a gateway that others use as their relay subscribes like a relay', () => {
		expect(formatSubscriptions(largeDeployment, 'a-4', [], true)).toEqual(['a-1 own', 'a-2 own', 'a-3 own', 'b-2 dataCentre', 'c-2 dataCentre']);
	});

	test('only the relay needs more than one subscription in a deployment of 26 data centres with 34 gateways each', () => {
		const hugeDeployment = createMembers(Array.from({length: 26}, (_, index) => `dc${index}`), 34);
		expect(formatSubscriptions(hugeDeployment, 'dc7-9')).toHaveLength(1);
		expect(formatSubscriptions(hugeDeployment, 'dc7-2')).toHaveLength(33 + 25);
	});
});
