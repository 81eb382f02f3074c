/**
Tests when received requests are begun, in turns of the event loop of different lengths.
*/
import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createIntakeRunner, type IntakeEntry} from './intake-runner.js';

/** Duration of a turn after which a request would be begun too late for a caller who left in it. */
const longTurnMs = 700;
const settleMs = 50;

function block(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

type Outcome = 'begun' | 'refused' | 'dropped';

type EntryFixture = Readonly<{entry: IntakeEntry; outcomes: readonly Outcome[]; leave(): void}>;

function createEntry(): EntryFixture {
	let hasLeft = false;
	const outcomes: Outcome[] = [];
	const entry: IntakeEntry = {
		hasCallerLeft: () => hasLeft,
		begin() {
			outcomes.push('begun');
		},
		refuse() {
			outcomes.push('refused');
		},
		drop() {
			outcomes.push('dropped');
		},
	};
	return {
		entry,
		outcomes,
		leave() {
			hasLeft = true;
		},
	};
}

/** Receives a request, lets the next turns be long, and calls `handleRead` in the turn after each of them, before requests are begun. */
async function runLongTurns({entry}: EntryFixture, longTurns: number, handleRead: (turn: number) => void): Promise<void> {
	const runner = createIntakeRunner();
	const runTurn = (turn: number, onEnd: () => void): void => {
		if (turn > 0) {
			handleRead(turn);
		}

		if (turn === longTurns) {
			onEnd();
			return;
		}

		setImmediate(runTurn, turn + 1, onEnd);
		block(longTurnMs);
	};

	await new Promise<void>(resolve => {
		setImmediate(() => {
			setImmediate(runTurn, 0, resolve);
		});
		runner.receive(entry);
	});
	await wait(settleMs);
}

// Guards against a request that is begun over half a second after its caller has left, whose close came in the turn in which it is begun.
test('a request is dropped whose caller\'s close is read after the long turn in which it could have been begun', async () => {
	const fixture = createEntry();
	await runLongTurns(fixture, 1, fixture.leave);
	expect(fixture.outcomes).toEqual(['dropped']);
});

// Guards against a refusal of requests that waited only since the gateway stood still.
test('a request whose caller waits is begun after the long turn in which it could have been begun', async () => {
	const fixture = createEntry();
	await runLongTurns(fixture, 1, () => undefined);
	expect(fixture.outcomes).toEqual(['begun']);
});

// Guards against requests that are neither begun nor refused, as long as all turns are long.
test('a request is refused once it is overdue and another turn was long', async () => {
	const fixture = createEntry();
	const seen: number[] = [];
	await runLongTurns(fixture, 3, () => {
		seen.push(fixture.outcomes.length);
	});
	expect(fixture.outcomes).toEqual(['refused']);
	expect(seen.at(-1)).toBe(1);
});
