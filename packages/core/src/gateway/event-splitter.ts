/**
Splits a stream of server-sent events into whole events, so that a stream which breaks inside an event can go on at
another endpoint without a seam.
*/

/** A whole event with its closing blank line. */
export type StreamEvent = Readonly<{
	/** Value of its `id` field, if it has one. */
	id: string | undefined;
	bytes: Uint8Array;
}>;

export type EventSplitter = Readonly<{
	/** Takes in bytes and returns the events that they complete. */
	addBytes(bytes: Uint8Array): readonly StreamEvent[];
	/** Returns the number of bytes of an event that is not complete. */
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

/** Returns the index just after the first blank line from `start` on, or -1. */
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
	let rest: Uint8Array = new Uint8Array(0);

	return {
		addBytes(bytes) {
			const all = rest.length === 0 ? bytes : mergeBytes(rest, bytes);
			const events: StreamEvent[] = [];
			let start = 0;
			for (;;) {
				const end = findEventEnd(all, start);
				if (end === -1) {
					break;
				}

				const event = all.subarray(start, end);
				const id = idPattern.exec(decoder.decode(event))?.groups?.id?.trim();
				events.push({id, bytes: event});
				start = end;
			}

			rest = all.slice(start);
			return events;
		},
		getIncompleteByteCount: () => rest.length,
	};
}
