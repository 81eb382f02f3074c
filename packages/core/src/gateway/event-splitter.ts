/**
Splits a stream of server-sent events into complete events, so that a stream that breaks inside an event can be resumed
at another endpoint without a duplicate or a partial event. Each byte is looked at once, however the stream is cut up.
*/
import {createByteBuffer} from '../byte-buffer.js';

/** A complete event, including its terminating blank line. Blank lines before an event belong to none and are left out. */
export type StreamEvent = Readonly<{
	/** Value of the `id` field, if present. */
	id: string | undefined;
	/** Whether it has an id or data, and is more than a comment. */
	hasContent: boolean;
}>;

export type EventSplitter = Readonly<{
	/**
	Appends bytes, and passes the events that they complete to `accept`. Returns the bytes of those that it accepts. After the first that it
	doesn't accept the splitter is of no more use.
	*/
	addBytes(bytes: Uint8Array, accept: (event: StreamEvent) => boolean): Uint8Array;
	/** Returns the number of buffered bytes of an incomplete event. */
	getIncompleteByteCount(): number;
}>;

const lineFeed = 10;
const carriageReturn = 13;
const colon = 58;
const space = 32;

function createBytes(text: string): Uint8Array {
	return new TextEncoder().encode(text);
}

const idField = createBytes('id');
const dataField = createBytes('data');

/** Returns the index after the name of a field, or -1 if the line between the indices has another one. */
function findFieldEnd(bytes: Uint8Array, lineStart: number, lineEnd: number, name: Uint8Array): number {
	const end = lineStart + name.length;
	if (end > lineEnd || bytes[lineStart] !== name[0]) {
		return -1;
	}

	for (const [index, byte] of name.entries()) {
		if (bytes[lineStart + index] !== byte) {
			return -1;
		}
	}

	return end === lineEnd || bytes[end] === colon ? end : -1;
}

/** Copies the ranges of the accepted events, unless they follow each other without a gap. */
type AcceptedRanges = Readonly<{
	add(start: number, end: number): void;
	getBytes(source: Uint8Array): Uint8Array;
}>;

function createAcceptedRanges(): AcceptedRanges {
	const starts: number[] = [];
	const ends: number[] = [];
	return {
		add(start, end) {
			if (ends.at(-1) === start) {
				ends[ends.length - 1] = end;
			} else {
				starts.push(start);
				ends.push(end);
			}
		},
		getBytes(source) {
			if (starts.length <= 1) {
				return source.subarray(starts[0] ?? 0, ends[0] ?? 0);
			}

			let length = 0;
			const joined = new Uint8Array(ends.reduce((sum, end, index) => sum + end - (starts[index] ?? 0), 0));
			for (const [index, start] of starts.entries()) {
				const part = source.subarray(start, ends[index]);
				joined.set(part, length);
				length += part.length;
			}

			return joined;
		},
	};
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
	const decoder = new TextDecoder();
	/** Begins with the incomplete event. */
	const incomplete = createByteBuffer();
	/** Index from which on the incomplete event hasn't been looked at, and where its last line starts. */
	let searchedLength = 0;
	let lastLineStart = 0;
	let hasLine = false;
	let id: string | undefined;
	let hasContent = false;

	function readLine(bytes: Uint8Array, lineStart: number, lineEnd: number): void {
		hasLine = true;
		const idEnd = findFieldEnd(bytes, lineStart, lineEnd, idField);
		hasContent ||= idEnd !== -1 || findFieldEnd(bytes, lineStart, lineEnd, dataField) !== -1;
		if (id === undefined && idEnd !== -1 && idEnd < lineEnd) {
			const valueStart = bytes[idEnd + 1] === space ? idEnd + 2 : idEnd + 1;
			id = decoder.decode(bytes.subarray(valueStart, lineEnd)).trim();
		}
	}

	/** Returns the event that ends here, and begins the next one. */
	function takeEvent(): StreamEvent {
		const event = {id, hasContent};
		hasLine = false;
		id = undefined;
		hasContent = false;
		return event;
	}

	return {
		addBytes(bytes, accept) {
			const wasEmpty = incomplete.getLength() === 0;
			if (!wasEmpty) {
				incomplete.add(bytes);
			}

			const source = wasEmpty ? bytes : incomplete.getBytes();
			const accepted = createAcceptedRanges();
			let eventStart = 0;
			let lineStart = lastLineStart;
			let isAccepting = true;
			for (let index = searchedLength; index < source.length && isAccepting; index += 1) {
				if (source[index] !== lineFeed) {
					continue;
				}

				const lineEnd = index > lineStart && source[index - 1] === carriageReturn ? index - 1 : index;
				if (lineEnd > lineStart) {
					readLine(source, lineStart, lineEnd);
				} else if (hasLine) {
					isAccepting = accept(takeEvent());
					if (isAccepting) {
						accepted.add(eventStart, index + 1);
					}

					eventStart = index + 1;
				} else {
					eventStart = index + 1;
				}

				lineStart = index + 1;
			}

			const acceptedBytes = accepted.getBytes(source);
			searchedLength = source.length - eventStart;
			lastLineStart = lineStart - eventStart;
			if (wasEmpty) {
				incomplete.add(bytes.subarray(eventStart));
				return acceptedBytes;
			}

			// The buffer is used again.
			const kept = new Uint8Array(acceptedBytes);
			incomplete.removeFirst(eventStart);
			return kept;
		},
		getIncompleteByteCount: incomplete.getLength,
	};
}
