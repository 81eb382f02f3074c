/**
Drives a replicated log of the core against the object API.

Entries are objects named `log/NAME/SEQUENCE`, with the sequence padded so that keys sort in order.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {
	createReplicatedLog, type LogAction, type LogEntry, type LogEvent, type ApplyLogRecord, type LogSettings, type SubmissionOutcome,
} from '@currantcross/core/replicated-log';
import type {Milliseconds} from '@currantcross/core/types';
import type {ObjectApi, StoredObject} from './object-api.js';

export type LogDriver<LogRecord, Effect> = Readonly<{
	/** Appends a record and returns what it achieved, or that its time is over. */
	submit(record: LogRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Effect>>;
	/** Lets the log know that entries up to the sequence exist. */
	learnTail(sequence: number): void;
	/** Tells the log that its state was brought up to the sequence from elsewhere. */
	transferState(sequence: number): void;
	getSequence(): number;
	close(): void;
}>;

export type LogDriverSettings = LogSettings & Readonly<{
	name: string;
	/** Hears of each sequence that is folded. */
	onFolded?: ((sequence: number) => void) | undefined;
}>;

const sequenceDigits = 12;
const pageSize = 200;

/** Returns the key of an entry. */
export function getEntryKey(name: string, sequence: number): string {
	return `log/${name}/${String(sequence).padStart(sequenceDigits, '0')}`;
}

function parseEntry<LogRecord>(object: StoredObject): LogEntry<LogRecord> {
	const entry = parseTrustedJson<LogEntry<LogRecord>>(object.value);
	return entry;
}

/** Creates the driver of one log. */
export function createLogDriver<LogRecord, Effect>(
	settings: LogDriverSettings,
	api: ObjectApi,
	fold: ApplyLogRecord<LogRecord, Effect>,
): LogDriver<LogRecord, Effect> {
	const log = createReplicatedLog(settings, fold);
	const waiting = new Map<string, (outcome: SubmissionOutcome<Effect>) => void>();
	let submissionCount = 0;
	let timer: NodeJS.Timeout | undefined;
	let foldedSequence = 0;
	let isClosed = false;

	function step(event: LogEvent<LogRecord>): void {
		if (isClosed) {
			return;
		}

		for (const action of log.step(event, performance.now())) {
			perform(action);
		}

		notifyFolded();
		setTimer();
	}

	function notifyFolded(): void {
		if (log.getSequence() > foldedSequence) {
			foldedSequence = log.getSequence();
			settings.onFolded?.(foldedSequence);
		}
	}

	function setTimer(): void {
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
				void createEntry(action.entry);
				return;
			}

			case 'readEntries': {
				void readEntries(action.after);
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
		waiting.get(submissionId)?.(outcome);
		waiting.delete(submissionId);
	}

	async function createEntry(entry: LogEntry<LogRecord>): Promise<void> {
		const outcome = await api.create(getEntryKey(settings.name, entry.sequence), JSON.stringify(entry));
		step({kind: 'createAnswered', sequence: entry.sequence, outcome});
	}

	async function readEntries(after: number): Promise<void> {
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
			// Each page starts where the one before ended.
			// eslint-disable-next-line no-await-in-loop
			const {items} = await api.list({
				prefix: `log/${settings.name}/`, after: getEntryKey(settings.name, lastSequence), limit: pageSize,
			});
			entries.push(...items.map(item => parseEntry<LogRecord>(item)));
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
				waiting.set(submissionId, resolveOutcome);
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
