/**
Holds requests that arrive before the gateway can check them, until it can or their time is over. They are resumed one a turn of the event
loop, so that the loop goes on reading, and only once it has read the closes of callers that have left.
*/
import {createEarlyRequests, type EarlyTimes, type RefusedEntry} from '@currantcross/core/gateway/early-requests';
import type {Failure} from '@currantcross/core/errors';
import {waitForRecentReads} from '@currantcross/core/loop-monitor';

/** A request that may be held. Either of the functions ends its hold. */
export type EarlyEntry = Readonly<{
	resume(): void;
	refuse(failure: Failure): void;
}>;

export type EarlyRequestRunner = Readonly<{
	/** Holds a request, or refuses it at once. */
	admit(entry: EarlyEntry, times: EarlyTimes): void;
	/** Ends the hold of a request that is no longer pending. Returns whether it was held. */
	remove(entry: EarlyEntry): boolean;
	/** Resumes all requests one after the other, since they can be checked now. */
	resumeAll(): void;
	/** Records the outcome of a call of the platform's store. */
	recordCall(isAnswered: boolean): void;
	close(): void;
}>;

/** Creates a runner without requests. */
export function createEarlyRequestRunner(): EarlyRequestRunner {
	const early = createEarlyRequests<EarlyEntry>();
	let timer: NodeJS.Timeout | undefined;

	function refuseEntries(refused: ReadonlyArray<RefusedEntry<EarlyEntry>>): void {
		for (const {entry, failure} of refused) {
			entry.refuse(failure);
		}
	}

	function setTimer(): void {
		clearTimeout(timer);
		const now = performance.now();
		const wakeAt = early.getWakeAt();
		timer = Number.isFinite(wakeAt) ? setTimeout(handleTimer, Math.max(1, Math.ceil(wakeAt - now))) : undefined;
	}

	function handleTimer(): void {
		refuseEntries(early.takeOverdue(performance.now()));
		setTimer();
	}

	function resumeNext([next, ...others]: readonly EarlyEntry[]): void {
		if (next !== undefined) {
			waitForRecentReads(() => {
				next.resume();
				resumeNext(others);
			});
		}
	}

	return {
		admit(entry, times) {
			const failure = early.admit(entry, times, performance.now());
			if (failure === undefined) {
				setTimer();
			} else {
				entry.refuse(failure);
			}
		},
		remove: early.remove,
		resumeAll() {
			resumeNext(early.takeAll());
		},
		recordCall(isAnswered) {
			refuseEntries(early.recordCall(isAnswered));
		},
		close() {
			clearTimeout(timer);
		},
	};
}
