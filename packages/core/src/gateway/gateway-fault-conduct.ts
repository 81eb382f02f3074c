/**
What endpoints of generated tests do with a request: keep their promises, or break them in one of the ways that the
platform allows. Scaffolding.
*/
import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../types.js';
import {createFixtureHead} from './gateway-fixtures.js';
import type {RequestKind} from './gateway-types.js';
import type {RelayEvent, SendId} from './relay-types.js';

/** What an endpoint does with one send. */
export type Conduct
	= | Readonly<{kind: 'serve'; delayMs: Milliseconds}>
	/** Says that it did not run the request. */
		| Readonly<{kind: 'refuse'; delayMs: Milliseconds}>
		| Readonly<{kind: 'misdirect'; delayMs: Milliseconds}>
		| Readonly<{kind: 'failConnection'; delayMs: Milliseconds}>
	/** Runs the request and breaks the connection before an answer. */
		| Readonly<{kind: 'reset'; delayMs: Milliseconds}>
		| Readonly<{kind: 'fail'; status: 500 | 504; delayMs: Milliseconds}>
	/** Answers with another request's answer, or one that is not its own. */
		| Readonly<{kind: 'spoil'; how: 'foreign' | 'unstamped' | 'encoded'; delayMs: Milliseconds}>
	/**
	Breaks off or goes silent after some events; `bytes` of the next one still come. A stream may also end there as if it
	were complete, where its length is not told.
	*/
		| Readonly<{kind: 'stop'; how: 'break' | 'silence' | 'end'; events: number; bytes: number; delayMs: Milliseconds}>
		| Readonly<{kind: 'skipEvent'; delayMs: Milliseconds}>
		| Readonly<{kind: 'silence'}>;

/** One thing that comes back from an endpoint, so long after the send. */
export type ConductStep = Readonly<{afterMs: Milliseconds; event: RelayEvent}>;

/** A send as its endpoint sees it. */
export type ReceivedSend = Readonly<{sendId: SendId; kind: RequestKind; lastEventId: string | undefined}>;

export const worldEventCount = 5;
const eventPauseMs: Milliseconds = 40;
const plainAnswer = 'whole answer';

/** Returns the bytes of a stream's event. */
export function getWorldEvent(number: number): string {
	return `id: ${number}\ndata: piece ${number}\n\n`;
}

/** Returns the whole answer to a call. */
export function getWorldAnswer(kind: RequestKind): string {
	return kind === 'streaming' ? Array.from({length: worldEventCount}, (_, index) => getWorldEvent(index + 1)).join('') : plainAnswer;
}

/** Returns whether an endpoint that does so has run the request. */
export function isRunBy(conduct: Conduct): boolean {
	return conduct.kind !== 'refuse' && conduct.kind !== 'misdirect' && conduct.kind !== 'failConnection';
}

/** Returns the pieces of an answer: the events that are still due, or the plain answer. */
function getPieces({kind, lastEventId}: ReceivedSend, count: number): readonly string[] {
	const first = Number(lastEventId ?? '0') + 1;
	return kind === 'streaming'
		? Array.from({length: Math.max(0, Math.min(count, worldEventCount + 1 - first))}, (_, index) => getWorldEvent(first + index))
		: [plainAnswer];
}

function getEvents(send: ReceivedSend, conduct: Exclude<Conduct, {kind: 'silence'}>): readonly RelayEvent[] {
	const {sendId} = send;
	const end: RelayEvent = {kind: 'answerEnded', sendId};
	const broken: RelayEvent = {
		kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
	};
	const createHead = (changes: Parameters<typeof createFixtureHead>[0] = {}): RelayEvent => ({kind: 'answerStarted', sendId, head: createFixtureHead(changes)});
	const createBytes = (text: string): RelayEvent => ({kind: 'answerBytes', sendId, bytes: Buffer.from(text)});
	const createPieces = (count: number): readonly RelayEvent[] => getPieces(send, count).map(piece => createBytes(piece));
	switch (conduct.kind) {
		case 'serve': {
			return [createHead(), ...createPieces(worldEventCount), end];
		}

		case 'refuse': {
			return [createHead({status: 503, isNotRun: true}), end];
		}

		case 'misdirect': {
			return [createHead({status: 421, isNotRun: true}), end];
		}

		case 'failConnection': {
			return [{
				kind: 'sendFailed', sendId, wasSent: false, detail: 'ECONNREFUSED',
			}];
		}

		case 'reset': {
			return [broken];
		}

		case 'fail': {
			return [createHead({status: conduct.status}), createBytes('failed'), end];
		}

		case 'spoil': {
			const head = createHead({
				requestId: conduct.how === 'foreign' ? 'r-other' : 'r-1', hasStamp: conduct.how !== 'unstamped', isEncoded: conduct.how === 'encoded',
			});
			return [head, createBytes('not the answer'), end];
		}

		case 'skipEvent': {
			const last = send.kind === 'streaming' ? [createBytes(getWorldEvent(worldEventCount))] : [];
			return [createHead(), ...createPieces(1), ...last, end];
		}

		case 'stop': {
			const cut = conduct.bytes === 0 ? [] : [createBytes(getWorldEvent(worldEventCount).slice(0, conduct.bytes))];
			const started = [createHead({isUndelimited: conduct.how === 'end'}), ...createPieces(conduct.events), ...cut];
			// An end between two events, or of an answer without events, can't be told from the true one.
			const isEnd = conduct.how === 'end' && conduct.bytes > 0 && send.kind === 'streaming';
			return conduct.how === 'silence' ? started : [...started, isEnd ? end : broken];
		}
	}
}

/** Returns all that comes back for a send. */
export function getConductSteps(send: ReceivedSend, conduct: Conduct): readonly ConductStep[] {
	if (conduct.kind === 'silence') {
		return [];
	}

	let afterMs = conduct.delayMs;
	return getEvents(send, conduct).map(event => {
		const step = {afterMs, event};
		afterMs += event.kind === 'answerBytes' ? eventPauseMs : 0;
		return step;
	});
}
