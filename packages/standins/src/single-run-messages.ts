/**
HTTP messages of servers that write to their connections themselves, so that answers can be wrong.
*/
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';

/** What a server does to a request that it has run. */
export type Trouble
	/** Answers with the status, and with a refusal header if there is a text for it. */
	= | Readonly<{kind: 'answer'; status: number; refusalText?: string}>
	/** Writes a refusal of an earlier request of the connection, or one without an id, before, right after or some time after the answer. */
		| Readonly<{kind: 'leftover'; id: 'earlier' | 'none'; place: 'before' | 'after' | 'later'}>
	/** Answers with a refusal that has the request's id and another one. */
		| Readonly<{kind: 'twoIds'; order: 'ownFirst' | 'otherFirst'}>
	/** Ends the connection. */
		| Readonly<{kind: 'break'; place: 'beforeAnswer' | 'insideHead' | 'insideBody' | 'afterAnswer'; how: 'reset' | 'close'}>
	/** Doesn't answer for a time, and closes the connection then. */
		| Readonly<{kind: 'silence'}>;

/** What becomes of a request at the first server that it reaches: it is served, refused and not run, or run and troubled. */
export type RequestFate = Readonly<{kind: 'serve'}> | Readonly<{kind: 'refuse'}> | Readonly<{kind: 'trouble'; trouble: Trouble}>;

/** A request that was received whole. */
export type ParsedRequest = Readonly<{
	id: string;
	/** Name of the request in its target, which servers know it by even if its id is used twice. */
	key: string;
	target: string;
	expectedInstance: string | undefined;
	fate: RequestFate;
	/** Number of characters of the request with its body. */
	length: number;
}>;

/** Header in which a request names its fate as JSON; gateways forward it like any other. */
export const fateHeader = 'test-fate';
/** Target of the requests whose answers are streams. */
export const streamPrefix = '/once/';

const headEnd = '\r\n\r\n';
const requestLinePattern = /^[A-Z]+ (?<target>\S+) /v;
const eventCount = 3;
const eventPauseMs = 4;

export function isStreamTarget(target: string): boolean {
	return target.startsWith(streamPrefix);
}

function findHeader(head: string, name: string): string | undefined {
	const line = head.split('\r\n').find(text => text.toLowerCase().startsWith(`${name}:`));
	return line?.slice(name.length + 1).trim();
}

/** Returns the first request of the text, or `undefined` until it is complete. Bodies have a length, as gateways send them. */
export function tryParseRequest(text: string): ParsedRequest | undefined {
	const headLength = text.indexOf(headEnd);
	if (headLength === -1) {
		return undefined;
	}

	const head = text.slice(0, headLength);
	const length = headLength + headEnd.length + Number(findHeader(head, 'content-length') ?? '0');
	if (length > text.length) {
		return undefined;
	}

	const target = requestLinePattern.exec(head)?.groups?.target ?? '';
	return {
		id: findHeader(head, 'request-id') ?? '',
		key: target.slice(target.lastIndexOf('/') + 1),
		target,
		expectedInstance: findHeader(head, 'expect-instance'),
		fate: JSON.parse(findHeader(head, fateHeader) ?? '{"kind":"serve"}') as RequestFate, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		length,
	};
}

/** Returns the head of an answer. */
export function formatHead(status: number, headers: ReadonlyArray<readonly [string, string]>): string {
	return `HTTP/1.1 ${status} Status\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}

/** Returns an answer that says that a request did not run, with these ids. */
export function formatRefusal(ids: readonly string[], status = 503): string {
	return formatHead(status, [...ids.map(id => ['Request-Id', id] as const), ['Not-Run', '1'], ['Content-Length', '0']]);
}

/** Writes a stream of events in chunks. */
export async function writeStream(socket: Socket, head: string): Promise<void> {
	socket.write(head);
	for (let id = 1; id <= eventCount; id += 1) {
		const event = `id: ${id}\ndata: ${id}\n\n`;
		socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		await wait(eventPauseMs); // eslint-disable-line no-await-in-loop -- events are sent sequentially
	}

	socket.write('0\r\n\r\n');
}
