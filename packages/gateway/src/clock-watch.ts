/**
Notices when time has passed that the steady clock does not show: a host that was suspended has old knowledge which
looks fresh. The time of day counts suspension, and moves for other reasons too; both are taken alike.
*/
import type {Milliseconds} from '@currantcross/core/types';

export type ClockWatch = Readonly<{
	/** Returns whether the time of day has moved against the steady clock since the last call. */
	hasJumped(): boolean;
}>;

/** Clocks that a watch compares, in milliseconds. */
export type Clocks = Readonly<{
	getSteadyMs(): Milliseconds;
	getTimeOfDayMs(): Milliseconds;
}>;

/** Difference that is put down to slewing; what a host learns in a shorter suspension is not out of date. */
const toleranceMs: Milliseconds = 400;

/** The clocks of this process. */
export const processClocks: Clocks = {getSteadyMs: () => performance.now(), getTimeOfDayMs: () => Date.now()};

/** Creates a watch that starts with the clocks as they are. */
export function createClockWatch({getSteadyMs, getTimeOfDayMs}: Clocks): ClockWatch {
	const getOffsetMs = (): Milliseconds => getTimeOfDayMs() - getSteadyMs();
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
