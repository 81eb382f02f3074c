/**
Applies tickets in any order, by several writers, over a log that loses responses. The configuration must never revert to an
older ticket.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createConfiguration, type Configuration, type TicketEffect} from './configuration.js';
import {
	createReplicatedLog, type CreateOutcome, type LogAction, type LogEntry,
} from './replicated-log.js';
import {parseTicket} from './ticket.js';
import type {Pool, Ticket} from './types.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '1000'),
};

const poolNames = ['p1', 'p2', 'p3'] as const;

const pool: fc.Arbitrary<Pool | undefined> = fc.option(
	fc.record({kind: fc.constant('model' as const), engineMemoryTokens: fc.integer({min: 1, max: 3})}),
	{nil: undefined},
);

const ticket: fc.Arbitrary<Ticket> = fc.record({
	number: fc.integer({min: 1, max: 6}),
	objects: fc.uniqueArray(fc.constantFrom(...poolNames), {minLength: 1, maxLength: 2})
		.chain(names => fc.tuple(...names.map(name => pool.map(state => ({kind: 'pool' as const, name, state}))))),
});

/** Returns the number of the ticket that last changed each pool. */
function getTicketNumbers(configuration: Configuration): ReadonlyMap<string, number> {
	return new Map(configuration.getDelta(0).objects.map(({object, ticketNumber}) => [object.name, ticketNumber]));
}

function checkNotOlder(before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>): void {
	for (const [name, number] of before) {
		expect(after.get(name)).toBeGreaterThanOrEqual(number);
	}
}

function getState(configuration: Configuration): unknown {
	return poolNames.map(name => configuration.tryGetPool(name));
}

describe('configuration', () => {
	test('never reverts an object to an older ticket, even after its removal', () => {
		fc.assert(fc.property(fc.array(ticket, {maxLength: 20}), tickets => {
			const configuration = createConfiguration();
			for (const [index, next] of tickets.entries()) {
				const before = getTicketNumbers(configuration);
				const effect = configuration.applyTicket(next, index + 1);
				checkNotOlder(before, getTicketNumbers(configuration));
				if (effect.kind === 'accepted') {
					expect(next.objects.map(object => getTicketNumbers(configuration).get(object.name))).toEqual(next.objects.map(() => next.number));
				}
			}
		}), parameters);
	});

	test('accepts a repeated ticket without effect and refuses a different ticket with the same number', () => {
		const createPoolObject = (name: string, engineMemoryTokens: number) => ({kind: 'pool', name, state: {kind: 'model', engineMemoryTokens}} as const);
		const configuration = createConfiguration();
		const effects = [
			[createPoolObject('p1', 1)],
			[createPoolObject('p1', 1)],
			[createPoolObject('p1', 2)],
			[createPoolObject('p1', 1), createPoolObject('p2', 1)],
		].map((objects, index) => configuration.applyTicket({number: 5, objects}, index + 1).kind);
		expect(effects).toEqual(['accepted', 'alreadyAccepted', 'refused', 'refused']);
		expect(configuration.tryGetPool('p2')).toBeUndefined();
	});

	test('never reverts to an older state when deltas are merged late or repeatedly, and reaches the state of the source', () => {
		const scenario = fc.tuple(fc.array(ticket, {minLength: 1, maxLength: 12}), fc.array(fc.nat({max: 12}), {maxLength: 20}));
		fc.assert(fc.property(scenario, ([tickets, deltaIndexes]) => {
			const source = createConfiguration();
			const copy = createConfiguration();
			const sentDeltas = [source.getDelta(0)];
			for (const [index, next] of tickets.entries()) {
				source.applyTicket(next, index + 1);
				sentDeltas.push(source.getDelta(0));
				const before = getTicketNumbers(copy);
				const delta = sentDeltas[(deltaIndexes[index] ?? 0) % sentDeltas.length];
				if (delta !== undefined) {
					copy.mergeDelta(delta);
				}

				checkNotOlder(before, getTicketNumbers(copy));
			}

			copy.mergeDelta(source.getDelta(copy.getSequence()));
			expect(getState(copy)).toEqual(getState(source));
		}), parameters);
	});
});

type Writer = Readonly<{configuration: Configuration; log: ReturnType<typeof createReplicatedLog<Ticket, TicketEffect>>}>;

/** Creates a configuration that applies the records of the shared log, as an entry of an operator does. */
function createWriter(name: string): Writer {
	const configuration = createConfiguration();
	const log = createReplicatedLog<Ticket, TicketEffect>({
		writer: name, minimumCreateIntervalMs: 0, retryDelayMs: 1, maximumBatchRecords: 5,
	}, configuration.applyTicket, configuration.getTransferredEffect);
	return {configuration, log};
}

describe('concurrent tickets in a shared log', () => {
	test('brings all writers, who also transfer their states, to the same state, in which every ticket reported as accepted is in force or superseded, and each is appended once', () => {
		const scenario = fc.record({
			tickets: fc.array(fc.record({writer: fc.nat({max: 2}), ticket}), {minLength: 1, maxLength: 10}),
			schedule: fc.array(fc.nat({max: 2}), {minLength: 40, maxLength: 120}),
			lostResponses: fc.array(fc.boolean(), {maxLength: 30}),
			transferSources: fc.array(fc.nat({max: 6}), {maxLength: 120}),
		});
		fc.assert(fc.property(scenario, ({tickets, schedule, lostResponses, transferSources}) => {
			const storedEntries = new Map<number, LogEntry<Ticket>>();
			const writers = ['w0', 'w1', 'w2'].map(name => createWriter(name));
			const pendingActions: Array<Array<LogAction<Ticket, TicketEffect>>> = writers.map(() => []);
			const effects: Array<Readonly<{ticket: Ticket; effect: TicketEffect}>> = [];
			let now = 0;
			let createCallCount = 0;
			let turnCount = 0;

			function create(entry: LogEntry<Ticket>): CreateOutcome {
				createCallCount += 1;
				const exists = storedEntries.has(entry.sequence);
				if (!exists) {
					storedEntries.set(entry.sequence, entry);
				}

				if (lostResponses[createCallCount] === true) {
					return 'unknown';
				}

				return exists ? 'exists' : 'created';
			}

			function perform(index: number, action: LogAction<Ticket, TicketEffect>): void {
				switch (action.kind) {
					case 'createEntry': {
						step(index, {kind: 'createAnswered', sequence: action.entry.sequence, outcome: create(action.entry)});
						return;
					}

					case 'readEntries': {
						step(index, {kind: 'entriesRead', entries: [...storedEntries.values()].filter(entry => entry.sequence > action.after)});
						return;
					}

					case 'effectKnown': {
						const submitted = tickets[Number(action.submissionId)];
						if (submitted !== undefined) {
							effects.push({ticket: submitted.ticket, effect: action.effect});
						}

						return;
					}

					case 'submissionExpired': {
						throw new Error('unexpected expiry of a submission without an expiry time');
					}
				}
			}

			function step(index: number, event: Parameters<Writer['log']['step']>[0]): void {
				pendingActions[index]?.push(...writers[index]?.log.step(event, now) ?? []);
			}

			/** Lets a writer merge the state of another one. */
			function transferState(index: number, source: Writer | undefined): void {
				const {configuration} = writers[index] ?? createWriter('');
				if (source !== undefined && configuration.mergeDelta(source.configuration.getDelta(configuration.getSequence()))) {
					step(index, {kind: 'stateTransferred', sequence: configuration.getSequence()});
				}
			}

			/** Performs the next pending action of a writer, or lets time pass if there is none. Before that its state may be transferred to it. */
			function performTurn(index: number): void {
				now += 2;
				turnCount += 1;
				transferState(index, writers[transferSources[turnCount] ?? writers.length]);
				const action = pendingActions[index]?.shift();
				if (action === undefined) {
					step(index, {kind: 'timePassed'});
				} else {
					perform(index, action);
				}
			}

			for (const [index, {writer, ticket: record}] of tickets.entries()) {
				step(writer, {
					kind: 'submitted', submissionId: String(index), record, expiresAt: Number.POSITIVE_INFINITY,
				});
				performTurn(schedule[index] ?? 0);
			}

			for (const index of [...schedule, ...Array.from({length: 300}, (_, turn) => turn % 3)]) {
				performTurn(index);
			}

			for (const [index] of writers.entries()) {
				step(index, {kind: 'tailLearned', sequence: storedEntries.size});
				for (let turn = 0; turn < 5; turn += 1) {
					performTurn(index);
				}
			}

			const states = writers.map(({configuration}) => getState(configuration));
			expect(states[1]).toEqual(states[0]);
			expect(states[2]).toEqual(states[0]);
			expect(effects).toHaveLength(tickets.length);
			expect([...storedEntries.values()].flatMap(({records}) => records)).toHaveLength(tickets.length);
			const numbers = getTicketNumbers(writers[0]?.configuration ?? createConfiguration());
			for (const {ticket: {number, objects: changedObjects}, effect} of effects) {
				if (effect.kind === 'accepted') {
					expect(changedObjects.every(object => (numbers.get(object.name) ?? 0) >= number)).toBe(true);
				}
			}
		}), parameters);
	});
});

describe('a log whose state comes from a peer while the outcome of its own entry is unknown', () => {
	const createPoolTicket = (number: number, ...names: readonly string[]): Ticket => ({
		number, objects: names.map(name => ({kind: 'pool', name, state: {kind: 'model', engineMemoryTokens: number}})),
	});

	type TransferredRun = Readonly<{effects: readonly TicketEffect[]; createdEntries: ReadonlyArray<LogEntry<Ticket>>}>;

	/**
	Submits a ticket whose entry becomes the first one unless the log has one, and lets a peer that has applied all entries transfer its state
	before or after the create is answered.
	*/
	function runTransfer(outcome: CreateOutcome, isTransferredFirst: boolean, others: ReadonlyArray<LogEntry<Ticket>>): TransferredRun {
		const {configuration, log} = createWriter('own');
		const effects: TicketEffect[] = [];
		const createdEntries: Array<LogEntry<Ticket>> = [];
		const storedEntries: Array<LogEntry<Ticket>> = others.filter(({sequence}) => sequence === 1);
		let now = 0;

		function transferState(): void {
			const peer = createConfiguration();
			for (const {sequence, records} of [...storedEntries, ...others.filter(entry => entry.sequence > 1)]) {
				for (const record of records) {
					peer.applyTicket(record, sequence);
				}
			}

			configuration.mergeDelta(peer.getDelta(configuration.getSequence()));
			step({kind: 'stateTransferred', sequence: configuration.getSequence()});
		}

		function perform(action: LogAction<Ticket, TicketEffect>): void {
			switch (action.kind) {
				case 'createEntry': {
					createdEntries.push(action.entry);
					if (createdEntries.length > 1) {
						storedEntries.push(action.entry);
						step({kind: 'createAnswered', sequence: action.entry.sequence, outcome: 'created'});
						return;
					}

					if (others.every(({sequence}) => sequence !== 1)) {
						storedEntries.push(action.entry);
					}

					storedEntries.push(...others.filter(({sequence}) => sequence > 1));
					if (isTransferredFirst) {
						transferState();
					}

					step({kind: 'createAnswered', sequence: action.entry.sequence, outcome});
					if (!isTransferredFirst) {
						transferState();
					}

					return;
				}

				case 'readEntries': {
					step({kind: 'entriesRead', entries: storedEntries.filter(entry => entry.sequence > action.after)});
					return;
				}

				case 'effectKnown': {
					effects.push(action.effect);
					return;
				}

				case 'submissionExpired': {
					throw new Error('unexpected expiry of a submission without an expiry time');
				}
			}
		}

		function step(event: Parameters<Writer['log']['step']>[0]): void {
			for (const action of log.step(event, now)) {
				perform(action);
			}
		}

		step({
			kind: 'submitted', submissionId: '0', record: createPoolTicket(5, 'p1', 'p2'), expiresAt: Number.POSITIVE_INFINITY,
		});
		for (let turn = 0; turn < 5; turn += 1) {
			now += 1000;
			step({kind: 'timePassed'});
		}

		return {effects, createdEntries};
	}

	// Guards against a ticket that is reported as accepted before, since a peer told its own entry of it before that has read the log.
	test.each([
		['unknown', false], ['unknown', true], ['created', true],
	] as const)('reports a ticket as accepted and appends it once (%s, transferred first: %s)', (outcome, isTransferredFirst) => {
		const {effects, createdEntries} = runTransfer(outcome, isTransferredFirst, []);
		expect(effects).toEqual([{kind: 'accepted', sequence: 1}]);
		expect(createdEntries).toHaveLength(1);
	});

	test('reports a ticket as accepted of which a later one has changed a part, and as refused if that has changed it all', () => {
		const createLater = (...names: readonly string[]): LogEntry<Ticket> => ({
			sequence: 2, writer: 'other', batch: 1, records: [createPoolTicket(6, ...names)],
		});
		expect(runTransfer('unknown', true, [createLater('p1')]).effects).toEqual([{kind: 'accepted', sequence: 1}]);
		expect(runTransfer('unknown', true, [createLater('p1', 'p2')]).effects).toMatchObject([{kind: 'refused', newerNumber: 6}]);
	});

	test('appends a ticket again if the entry of its sequence is another one\'s', () => {
		const {effects, createdEntries} = runTransfer('exists', true, [{
			sequence: 1, writer: 'other', batch: 1, records: [createPoolTicket(4, 'p1')],
		}]);
		expect(effects).toEqual([{kind: 'accepted', sequence: 2}]);
		expect(createdEntries.map(({sequence}) => sequence)).toEqual([1, 2]);
	});
});

describe('ticket schema', () => {
	test('reports the path of the invalid key with each problem', () => {
		const state = {kind: 'model', engineMemoryTokens: -1};
		const parsed = parseTicket({number: 1, objects: [{kind: 'pool', name: 'p', state}]});
		expect(parsed).toMatchObject({kind: 'invalid', problems: [{path: 'objects.0.state.engineMemoryTokens'}]});
	});

	test('rejects unknown keys and kinds, repeated objects, objects with both or neither of a state and a removal, and tickets without objects', () => {
		const object = {kind: 'pool', name: 'p', state: {kind: 'model', engineMemoryTokens: 1}};
		const tickets = [
			{number: 1, objects: [object], note: 'x'},
			{number: 1, objects: [{...object, kind: 'shelf'}]},
			{number: 1, objects: [object, object]},
			{number: 1, objects: [{...object, removed: true}]},
			{number: 1, objects: [{kind: 'pool', name: 'p'}]},
			{number: 1, objects: []},
		];
		expect(tickets.map(value => parseTicket(value).kind)).toEqual(tickets.map(() => 'invalid'));
	});
});
