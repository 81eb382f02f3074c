/**
Notices when time has passed that the steady clock does not show: a host that was suspended has old knowledge which
looks fresh.
*/
import os from 'node:os';
import type {Milliseconds} from '@currantcross/core/types';

export type ClockWatch = Readonly<{
	/** Returns whether other clocks have moved against the steady one since the last call. */
	hasJumped(): boolean;
}>;

/** A clock besides the steady one, and the difference that is put down to its reading. */
type OtherClock = Readonly<{read: () => Milliseconds; toleranceMs: Milliseconds}>;

const millisecondsPerSecond = 1000;

const otherClocks: readonly OtherClock[] = [
	// Slewing moves the time of day by far less between two looks.
	{read: () => Date.now(), toleranceMs: 400},
	// The system's uptime, which counts suspension, may be given in whole seconds.
	{read: () => os.uptime() * millisecondsPerSecond, toleranceMs: 1300},
];

function readOffsets(): readonly Milliseconds[] {
	const steady = performance.now();
	return otherClocks.map(({read}) => read() - steady);
}

/** Creates a watch that starts with the clocks as they are. */
export function createClockWatch(): ClockWatch {
	let offsets = readOffsets();
	return {
		hasJumped() {
			const current = readOffsets();
			const isMoved = current.some((offset, index) => Math.abs(offset - (offsets[index] ?? offset)) > (otherClocks[index]?.toleranceMs ?? 0));
			if (isMoved) {
				offsets = current;
			}

			return isMoved;
		},
	};
}
