/**
Begins received requests. While the event loop reads without delay, a request is begun as soon as it has been read. One that
may have waited is begun only after the loop has read the closes that arrived with it, and only for a limited time a turn, so
that the loop goes on reading.
*/
import {createRequestIntake, getOverdueFailure} from '@currantcross/core/gateway/request-intake';
import type {Failure} from '@currantcross/core/errors';
import type {Milliseconds} from '@currantcross/core/types';

/** A received request that waits to be begun. */
export type IntakeEntry = Readonly<{
	/** Whether the request may have waited before, so that its caller may have left. */
	hasWaited: boolean;
	hasCallerLeft(): boolean;
	begin(): void;
	refuse(failure: Failure): void;
	/** Called instead of the other two if the caller has left. */
	drop(): void;
}>;

export type IntakeRunner = Readonly<{
	receive(entry: IntakeEntry): void;
}>;

/** Time for which requests are begun before the loop reads again. */
const turnBudgetMs: Milliseconds = 20;

/** Creates a runner without requests. */
export function createIntakeRunner(): IntakeRunner {
	const intake = createRequestIntake<IntakeEntry>();
	let isScheduled = false;
	let refusedCount = 0;

	function schedule(): void {
		if (!isScheduled) {
			isScheduled = true;
			setImmediate(runTurn);
		}
	}

	function runTurn(): void {
		isScheduled = false;
		const startedAt = performance.now();
		for (const entry of intake.takeOverdue(startedAt)) {
			handleOverdue(entry);
		}

		while (performance.now() - startedAt < turnBudgetMs) {
			const entry = intake.tryTakeNewest();
			if (entry === undefined) {
				break;
			}

			startEntry(entry);
		}

		// What is added now becomes due in the next turn, after the loop has read once more.
		intake.recordReads();
		if (!intake.isEmpty()) {
			schedule();
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
			if (!entry.hasWaited && intake.isEmpty()) {
				startEntry(entry);
				return;
			}

			intake.add(entry, performance.now());
			schedule();
		},
	};
}
