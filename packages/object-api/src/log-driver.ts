/**
The driver of a replicated log: performs the reads and creates of the core's state machine at the object API.

Each log entry is an object with the key `log/NAME/SEQUENCE`, whose sequence is zero-padded so that keys sort numerically.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {
	createReplicatedLog, type LogAction, type LogEntry, type LogEvent, type ApplyLogRecord, type LogSettings, type SubmissionOutcome,
} from '@currantcross/core/replicated-log';
import type {Milliseconds} from '@currantcross/core/types';
import type {ObjectApi, StoredObject} from './object-api.js';

export type LogDriver<LogRecord, Effect> = Readonly<{
	/** Appends a record; returns its effect, or `expired` if the effect is not known within the time limit. */
	submit(record: LogRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Effect>>;
	/** Tells the log that entries up to the sequence exist. */
	learnTail(sequence: number): void;
	/** Tells the log that the state up to the sequence was obtained outside the log, for example from a peer. */
	transferState(sequence: number): void;
	getSequence(): number;
	close(): void;
}>;

export type LogDriverSettings = LogSettings & Readonly<{
	name: string;
	/** Called with the latest sequence after new entries have been applied. */
	onApplied?: ((sequence: number) => void) | undefined;
}>;

const sequenceDigits = 12;
const pageSize = 200;

/** Returns the object key of a log entry. */
export function getLogEntryKey(name: string, sequence: number): string {
	return `log/${name}/${String(sequence).padStart(sequenceDigits, '0')}`;
}

function parseLogEntry<LogRecord>(object: StoredObject): LogEntry<LogRecord> {
	const entry = parseTrustedJson<LogEntry<LogRecord>>(object.value);
	return entry;
}

/** Creates the driver of a log whose records are applied by `applyRecord`, and whose effects are given by the other function where the state was transferred. */
export function createLogDriver<LogRecord, Effect>(
	settings: LogDriverSettings,
	objectApi: ObjectApi,
	applyRecord: ApplyLogRecord<LogRecord, Effect>,
	getTransferredEffect = applyRecord,
): LogDriver<LogRecord, Effect> {
	const log = createReplicatedLog(settings, applyRecord, getTransferredEffect);
	const pendingSubmissions = new Map<string, (outcome: SubmissionOutcome<Effect>) => void>();
	let submissionCount = 0;
	let timer: NodeJS.Timeout | undefined;
	let appliedSequence = 0;
	let isClosed = false;

	function step(event: LogEvent<LogRecord>): void {
		if (isClosed) {
			return;
		}

		for (const action of log.step(event, performance.now())) {
			perform(action);
		}

		notifyApplied();
		scheduleWake();
	}

	function notifyApplied(): void {
		if (log.getSequence() > appliedSequence) {
			appliedSequence = log.getSequence();
			settings.onApplied?.(appliedSequence);
		}
	}

	function scheduleWake(): void {
		clearTimeout(timer);
		const wakeAt = log.tryGetWakeAt();
		if (wakeAt !== undefined) {
			timer = setTimeout(() => {
				step({kind: 'timePassed'});
			}, Math.max(1, wakeAt - performance.now()));
		}
	}

	function perform(action: LogAction<LogRecord, Effect>): void {
		switch (action.kind) {
			case 'createEntry': {
				void createLogEntry(action.entry);
				return;
			}

			case 'readEntries': {
				void readLogEntries(action.after);
				return;
			}

			case 'effectKnown': {
				answerSubmission(action.submissionId, {kind: 'applied', effect: action.effect});
				return;
			}

			case 'submissionExpired': {
				answerSubmission(action.submissionId, {kind: 'expired', mayTakeEffect: action.mayTakeEffect});
			}
		}
	}

	function answerSubmission(submissionId: string, outcome: SubmissionOutcome<Effect>): void {
		pendingSubmissions.get(submissionId)?.(outcome);
		pendingSubmissions.delete(submissionId);
	}

	async function createLogEntry(entry: LogEntry<LogRecord>): Promise<void> {
		const outcome = await objectApi.create(getLogEntryKey(settings.name, entry.sequence), JSON.stringify(entry));
		step({kind: 'createAnswered', sequence: entry.sequence, outcome});
	}

	async function readLogEntries(after: number): Promise<void> {
		try {
			const entries = await readAllPages(after);
			step({kind: 'entriesRead', entries});
		} catch {
			step({kind: 'readFailed'});
		}
	}

	async function readAllPages(after: number): Promise<ReadonlyArray<LogEntry<LogRecord>>> {
		const entries: Array<LogEntry<LogRecord>> = [];
		let lastSequence = after;
		for (;;) {
			// Each page starts after the last entry of the previous one.
			// eslint-disable-next-line no-await-in-loop
			const {items} = await objectApi.list({
				prefix: `log/${settings.name}/`, after: getLogEntryKey(settings.name, lastSequence), limit: pageSize,
			});
			entries.push(...items.map(item => parseLogEntry<LogRecord>(item)));
			if (items.length < pageSize) {
				return entries;
			}

			lastSequence += items.length;
		}
	}

	return {
		async submit(record, budgetMs) {
			submissionCount += 1;
			const submissionId = String(submissionCount);
			return new Promise(resolveOutcome => {
				pendingSubmissions.set(submissionId, resolveOutcome);
				step({
					kind: 'submitted', submissionId, record, expiresAt: performance.now() + budgetMs,
				});
			});
		},
		learnTail(sequence) {
			step({kind: 'tailLearned', sequence});
		},
		transferState(sequence) {
			step({kind: 'stateTransferred', sequence});
		},
		getSequence: () => log.getSequence(),
		close() {
			isClosed = true;
			clearTimeout(timer);
		},
	};
}
