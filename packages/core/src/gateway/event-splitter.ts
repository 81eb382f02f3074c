/**
Splits a stream of server-sent events into complete events, so that a stream that breaks inside an event can be resumed
at another endpoint without a duplicate or a partial event.
*/
import {Buffer} from 'node:buffer';

/** A complete event, including its terminating blank line. Blank lines before an event belong to none and are left out. */
export type StreamEvent = Readonly<{
	/** Value of the `id` field, if present. */
	id: string | undefined;
	/** Whether it has an id or data, and is more than a comment. */
	hasContent: boolean;
	bytes: Uint8Array;
}>;

export type EventSplitter = Readonly<{
	/** Appends bytes and returns the events that they complete. */
	addBytes(bytes: Uint8Array): readonly StreamEvent[];
	/** Returns the number of buffered bytes of an incomplete event. */
	getIncompleteByteCount(): number;
}>;

const lineFeed = 10;
const carriageReturn = 13;
const idPattern = /^id: ?(?<id>.*)$/mv;
const contentPattern = /^(?:id|data)(?::|$)/mv;

/** Returns the parts as one; a single part is not copied. */
export function mergeBytes(parts: readonly Uint8Array[]): Uint8Array {
	const [first] = parts;
	return first !== undefined && parts.length === 1 ? first : Buffer.concat(parts);
}

/** Returns the index after the blank lines at `start`. */
function getContentStart(bytes: Uint8Array, start: number): number {
	let index = start;
	while (bytes[index] === lineFeed || (bytes[index] === carriageReturn && bytes[index + 1] === lineFeed)) {
		index += bytes[index] === lineFeed ? 1 : 2;
	}

	return index;
}

/** Returns the index after the blank line that ends the event at `start`, or -1 if the event is incomplete. */
function findEventEnd(bytes: Uint8Array, start: number): number {
	let lineStart = start;
	for (let index = start; index < bytes.length; index += 1) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const isBlank = index === lineStart || (index === lineStart + 1 && bytes[lineStart] === carriageReturn);
		if (isBlank && lineStart > start) {
			return index + 1;
		}

		lineStart = index + 1;
	}

	return -1;
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
	const decoder = new TextDecoder();
	let remainder: Uint8Array = new Uint8Array(0);

	return {
		addBytes(bytes) {
			const buffered = remainder.length === 0 ? bytes : mergeBytes([remainder, bytes]);
			const events: StreamEvent[] = [];
			let start = getContentStart(buffered, 0);
			for (;;) {
				const end = findEventEnd(buffered, start);
				if (end === -1) {
					break;
				}

				const event = buffered.subarray(start, end);
				const text = decoder.decode(event);
				events.push({id: idPattern.exec(text)?.groups?.id?.trim(), hasContent: contentPattern.test(text), bytes: event});
				start = getContentStart(buffered, end);
			}

			remainder = buffered.slice(start);
			return events;
		},
		getIncompleteByteCount: () => remainder.length,
	};
}
