import {describe, expect, test} from 'vitest';
import {chooseFollowed, type ExchangeMember, type FollowChoice} from './exchange-topology.js';

function createMembers(dataCentres: readonly string[], countEach: number): readonly ExchangeMember[] {
	return dataCentres.flatMap(dataCentre => Array.from({length: countEach}, (_, index) => ({
		name: `${dataCentre}-${index + 1}`, dataCentre, processorShare: index === 1 ? 0.7 : 0.25,
	})));
}

function getChoices(members: readonly ExchangeMember[], name: string, lost: readonly string[] = [], isAskedToRelay = false): readonly string[] {
	const own = members.find(member => member.name === name);
	if (own === undefined) {
		throw new Error('the gateway is not a member');
	}

	const choices: ReadonlyArray<FollowChoice<ExchangeMember>> = chooseFollowed({
		own, others: members.filter(member => member !== own), isUnreachable: other => lost.includes(other), isAskedToRelay,
	});
	return choices.map(({member, scope}) => `${member.name} ${scope}`);
}

describe('whom a gateway follows', () => {
	const few = createMembers(['a', 'b'], 2);
	const many = createMembers(['a', 'b', 'c'], 4);

	test('each other, where they are few', () => {
		expect(getChoices(few, 'a-1')).toEqual(['a-2 own', 'b-1 own', 'b-2 own']);
	});

	test('the relay of its data centre, where they are many: the gateway with the most processor', () => {
		expect(getChoices(many, 'a-1')).toEqual(['a-2 all']);
		expect(getChoices(many, 'c-4')).toEqual(['c-2 all']);
	});

	test('all of its data centre and the other relays, where it is the relay itself', () => {
		expect(getChoices(many, 'b-2')).toEqual(['b-1 own', 'b-3 own', 'b-4 own', 'a-2 dataCentre', 'c-2 dataCentre']);
	});

	test('another relay, where the first was lost', () => {
		expect(getChoices(many, 'a-3', ['a-2'])).toEqual(['a-1 all']);
		expect(getChoices(many, 'a-1', ['a-2'])).toEqual(['a-2 own', 'a-3 own', 'a-4 own', 'b-2 dataCentre', 'c-2 dataCentre']);
		expect(getChoices(many, 'b-2', ['a-2'])).toContain('a-1 dataCentre');
	});

	test('as a relay, where others ask it to', () => {
		expect(getChoices(many, 'a-4', [], true)).toEqual(['a-1 own', 'a-2 own', 'a-3 own', 'b-2 dataCentre', 'c-2 dataCentre']);
	});

	test('no more streams in a data centre of any size, but for the relay', () => {
		const large = createMembers(Array.from({length: 26}, (_, index) => `dc${index}`), 34);
		expect(getChoices(large, 'dc7-9')).toHaveLength(1);
		expect(getChoices(large, 'dc7-2')).toHaveLength(33 + 25);
	});
});
