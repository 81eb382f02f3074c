/**
Behaviours of the endpoints in the property tests: serving a request correctly, or failing in one of the ways that the
platform allows.
*/
import {Buffer} from 'node:buffer';
import {notRunStatuses} from '../errors.js';
import type {Milliseconds} from '../types.js';
import {createFixtureHead} from './gateway-fixtures.js';
import type {RequestKind} from './gateway-types.js';
import type {RequestEvent, SendId} from './gateway-events.js';

/** Behaviour of an endpoint on one send. */
export type EndpointBehaviour
	= | Readonly<{kind: 'serve'; delayMs: Milliseconds}>
	/** Refuses the request and states that it wasn't run. */
		| Readonly<{kind: 'refuse'; delayMs: Milliseconds}>
		| Readonly<{kind: 'misdirect'; delayMs: Milliseconds}>
		| Readonly<{kind: 'failConnection'; delayMs: Milliseconds}>
	/** Runs the request and resets the connection before answering. */
		| Readonly<{kind: 'reset'; delayMs: Milliseconds}>
		| Readonly<{kind: 'fail'; status: 500 | 504; delayMs: Milliseconds}>
	/** Returns a response that must be rejected: one to another request, one without the stamp, or an encoded one. */
		| Readonly<{kind: 'corrupt'; how: 'foreign' | 'unstamped' | 'encoded'; delayMs: Milliseconds}>
	/**
	Breaks the connection or goes silent after some events and `bytes` of the next one. With `end`, the response is delimited by
	connection close, so that the truncated response ends as if it were complete.
	*/
		| Readonly<{kind: 'truncate'; how: 'break' | 'silent' | 'end'; events: number; bytes: number; delayMs: Milliseconds}>
		| Readonly<{kind: 'skipEvent'; delayMs: Milliseconds}>
		| Readonly<{kind: 'silent'}>
	/** Reads the request, never begins to work on it, and goes on answering probes. */
		| Readonly<{kind: 'hang'}>
		| StatingBehaviour;

/** What a response says of whether its request has run. */
export type Statement = 'none' | 'notRun' | 'denied';

/** Runs the request or not, and answers with any status, statement and id. */
export type StatingBehaviour = Readonly<{
	kind: 'state';
	isRun: boolean;
	status: number;
	statement: Statement;
	id: 'own' | 'other' | 'missing';
	/** Whether the response names another endpoint as the cause. */
	namesOther: boolean;
	/** Whether a copy of the response follows, where the response to the next request on the connection is expected. */
	isRepeated: boolean;
	delayMs: Milliseconds;
}>;

/** An event that the endpoint causes, and its delay after the send. */
export type BehaviourStep = Readonly<{afterMs: Milliseconds; event: RequestEvent}>;

/** The part of a send that its endpoint sees. */
export type ReceivedSend = Readonly<{sendId: SendId; requestId: string; kind: RequestKind; lastEventId: string | undefined}>;

/** Number of events of a complete stream. */
export const streamEventCount = 5;
const eventPauseMs: Milliseconds = 40;
const nonStreamBody = 'whole answer';

const lowestErrorStatus = 300;
const otherRequestId = 'r-other';
/** Address of an endpoint of the fixtures. */
const otherAddress = '10.0.6.7:80';

/** Returns the text of one event of a stream. */
export function getStreamEvent(number: number): string {
	return `id: ${number}\ndata: piece ${number}\n\n`;
}

/** Returns the complete response to a request. */
export function getCompleteBody(kind: RequestKind): string {
	return kind === 'streaming' ? Array.from({length: streamEventCount}, (_, index) => getStreamEvent(index + 1)).join('') : nonStreamBody;
}

/** Returns whether the response is the platform's statement that the request has not run, which no gateway can tell from a false one. */
export function isRefusal({status, statement, id}: StatingBehaviour): boolean {
	return notRunStatuses.has(status) && statement === 'notRun' && id === 'own';
}

/** Returns whether an endpoint with this behaviour runs the request. */
export function isRequestRun(behaviour: EndpointBehaviour): boolean {
	return behaviour.kind === 'state' ? behaviour.isRun : behaviour.kind !== 'refuse' && behaviour.kind !== 'misdirect' && behaviour.kind !== 'failConnection' && behaviour.kind !== 'hang';
}

/** Returns the parts of a response: up to `count` of the remaining events, or the body of a response that isn't a stream. */
function getBodyParts({kind, lastEventId}: ReceivedSend, count: number): readonly string[] {
	const first = Number(lastEventId ?? '0') + 1;
	return kind === 'streaming'
		? Array.from({length: Math.max(0, Math.min(count, streamEventCount + 1 - first))}, (_, index) => getStreamEvent(first + index))
		: [nonStreamBody];
}

function getEvents(send: ReceivedSend, behaviour: Exclude<EndpointBehaviour, {kind: 'silent' | 'hang'}>): readonly RequestEvent[] {
	const {sendId, requestId} = send;
	const end: RequestEvent = {kind: 'responseEnded', sendId};
	const connectionReset: RequestEvent = {
		kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
	};
	const createHeadEvent = (changes: Parameters<typeof createFixtureHead>[0] = {}): RequestEvent => ({kind: 'responseStarted', sendId, head: createFixtureHead({requestId, ...changes})});
	const createBytesEvent = (text: string): RequestEvent => ({kind: 'responseBytes', sendId, bytes: Buffer.from(text)});
	const createParts = (count: number): readonly RequestEvent[] => getBodyParts(send, count).map(part => createBytesEvent(part));
	switch (behaviour.kind) {
		case 'serve': {
			return [createHeadEvent(), ...createParts(streamEventCount), end];
		}

		case 'refuse': {
			return [createHeadEvent({status: 503, isNotRun: true}), end];
		}

		case 'misdirect': {
			return [createHeadEvent({status: 421, isNotRun: true}), end];
		}

		case 'failConnection': {
			return [{
				kind: 'sendFailed', sendId, wasSent: false, detail: 'ECONNREFUSED',
			}];
		}

		case 'reset': {
			return [connectionReset];
		}

		case 'fail': {
			return [createHeadEvent({status: behaviour.status}), createBytesEvent('failed'), end];
		}

		case 'corrupt': {
			const head = createHeadEvent({
				requestId: behaviour.how === 'foreign' ? otherRequestId : requestId, hasStamp: behaviour.how !== 'unstamped', isEncoded: behaviour.how === 'encoded',
			});
			return [head, createBytesEvent('not the answer'), end];
		}

		case 'state': {
			const {status, id, statement, namesOther} = behaviour;
			const head = createHeadEvent({
				status,
				requestId: {own: requestId, other: otherRequestId, missing: undefined}[id],
				isNotRun: statement === 'notRun',
				refusalText: {none: undefined, notRun: '1', denied: '0'}[statement],
				faultyAddress: namesOther ? otherAddress : undefined,
			});
			return [head, ...(status < lowestErrorStatus ? createParts(streamEventCount) : [createBytesEvent('failed')]), end];
		}

		case 'skipEvent': {
			const last = send.kind === 'streaming' ? [createBytesEvent(getStreamEvent(streamEventCount))] : [];
			return [createHeadEvent(), ...createParts(1), ...last, end];
		}

		case 'truncate': {
			const partialEvent = behaviour.bytes === 0 ? [] : [createBytesEvent(getStreamEvent(streamEventCount).slice(0, behaviour.bytes))];
			const startedResponse = [createHeadEvent({isUndelimited: behaviour.how === 'end'}), ...createParts(behaviour.events), ...partialEvent];
			// An end between two events, or of a response without events, can't be distinguished from a complete response.
			const isTruncationDetectable = behaviour.how === 'end' && behaviour.bytes > 0 && send.kind === 'streaming';
			return behaviour.how === 'silent' ? startedResponse : [...startedResponse, isTruncationDetectable ? end : connectionReset];
		}
	}
}

/** Returns all events that a send causes. */
export function getBehaviourSteps(send: ReceivedSend, behaviour: EndpointBehaviour): readonly BehaviourStep[] {
	if (behaviour.kind === 'silent' || behaviour.kind === 'hang') {
		return [];
	}

	let afterMs = behaviour.delayMs;
	return getEvents(send, behaviour).map(event => {
		const step = {afterMs, event};
		afterMs += event.kind === 'responseBytes' ? eventPauseMs : 0;
		return step;
	});
}
