/**
Splits a stream of server-sent events into complete events, so that a stream that breaks inside an event can be resumed
at another endpoint without a duplicate or a partial event.
*/

/** A complete event, including its terminating blank line. */
export type StreamEvent = Readonly<{
	/** Value of the `id` field, if present. */
	id: string | undefined;
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

function mergeBytes(left: Uint8Array, right: Uint8Array): Uint8Array {
	const joined = new Uint8Array(left.length + right.length);
	joined.set(left);
	joined.set(right, left.length);
	return joined;
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
			const buffered = remainder.length === 0 ? bytes : mergeBytes(remainder, bytes);
			const events: StreamEvent[] = [];
			let start = 0;
			for (;;) {
				const end = findEventEnd(buffered, start);
				if (end === -1) {
					break;
				}

				const event = buffered.subarray(start, end);
				const id = idPattern.exec(decoder.decode(event))?.groups?.id?.trim();
				events.push({id, bytes: event});
				start = end;
			}

			remainder = buffered.slice(start);
			return events;
		},
		getIncompleteByteCount: () => remainder.length,
	};
}
