/**
Detects time that has passed without advancing the monotonic clock. After a suspension of the host, stale data would
otherwise look recent. The wall clock advances during suspension but can also be set; both cases count as a jump.
*/
import type {Milliseconds} from '@currantcross/core/types';

export type ClockJumpDetector = Readonly<{
	/** Returns whether the wall clock has jumped against the monotonic clock since the last jump that it reported. */
	hasJumped(): boolean;
}>;

/** The clocks that a detector compares. */
export type Clocks = Readonly<{
	getMonotonicMs(): Milliseconds;
	getWallClockMs(): Milliseconds;
}>;

/** Difference that is tolerated as clock slewing; a suspension shorter than this does not make data stale. */
const toleranceMs: Milliseconds = 400;

/** Clocks of this process. */
export const processClocks: Clocks = {getMonotonicMs: () => performance.now(), getWallClockMs: () => Date.now()};

/** Creates a detector that takes the current offset between the clocks as its reference. */
export function createClockJumpDetector({getMonotonicMs, getWallClockMs}: Clocks): ClockJumpDetector {
	const getOffsetMs = (): Milliseconds => getWallClockMs() - getMonotonicMs();
	let offsetMs = getOffsetMs();
	return {
		hasJumped() {
			const currentMs = getOffsetMs();
			if (Math.abs(currentMs - offsetMs) <= toleranceMs) {
				return false;
			}

			offsetMs = currentMs;
			return true;
		},
	};
}
