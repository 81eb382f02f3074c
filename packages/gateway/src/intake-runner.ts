/**
Begins received requests, each after the loop has read the close that may have arrived with it, and only for a limited time a turn, so that
the loop goes on reading.
*/
import {createRequestIntake, getOverdueFailure} from '@currantcross/core/gateway/request-intake';
import type {Failure} from '@currantcross/core/errors';
import {isReadRecent} from '@currantcross/core/loop-monitor';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';

/** A received request that waits to be begun. */
export type IntakeEntry = Readonly<{
	hasCallerLeft(): boolean;
	begin(): void;
	refuse(failure: Failure): void;
	/** Called instead of the other two if the caller has left. */
	drop(): void;
}>;

export type IntakeRunner = Readonly<{
	receive(entry: IntakeEntry): void;
	/** Refuses a request that has waited too long already. */
	refuse(entry: IntakeEntry): void;
}>;

/** Time for which requests are begun before the loop reads again. */
const turnBudgetMs: Milliseconds = 4;

/** Creates a runner without requests. */
export function createIntakeRunner(): IntakeRunner {
	const intake = createRequestIntake<IntakeEntry>();
	let isScheduled = false;
	/** After this time the loop begins to read what is known in the next turn. */
	let scheduledAt: Timestamp = 0;
	let wasLastReadRecent = true;
	let refusedCount = 0;

	function schedule(): void {
		if (!isScheduled) {
			isScheduled = true;
			scheduledAt = performance.now();
			setImmediate(runTurn);
		}
	}

	function runTurn(): void {
		isScheduled = false;
		const startedAt = performance.now();
		const isRecent = isReadRecent(scheduledAt);
		if (isRecent) {
			startEntries(startedAt);
		}

		// A request that could not be begun earlier, since the loop stood still, is begun if there is time for it.
		if (isRecent || !wasLastReadRecent) {
			for (const entry of intake.takeOverdue(startedAt)) {
				handleOverdue(entry);
			}
		}

		// What is added now becomes due in the next turn, after the loop has read once more.
		intake.recordReads();
		if (intake.isEmpty()) {
			wasLastReadRecent = true;
		} else {
			wasLastReadRecent = isRecent;
			schedule();
		}
	}

	function startEntries(startedAt: Timestamp): void {
		while (performance.now() - startedAt < turnBudgetMs) {
			const entry = intake.tryTakeNewest();
			if (entry === undefined) {
				return;
			}

			startEntry(entry);
		}
	}

	function startEntry(entry: IntakeEntry): void {
		if (entry.hasCallerLeft()) {
			entry.drop();
		} else {
			entry.begin();
		}
	}

	function handleOverdue(entry: IntakeEntry): void {
		if (entry.hasCallerLeft()) {
			entry.drop();
			return;
		}

		entry.refuse(getOverdueFailure(refusedCount));
		refusedCount += 1;
	}

	return {
		receive(entry) {
			intake.add(entry, performance.now());
			schedule();
		},
		refuse: handleOverdue,
	};
}
