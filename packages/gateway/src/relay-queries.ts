/**
Asks a relay for its latest news before a request is placed.

A gateway that follows a relay places few requests compared with all that the others report. It lets the relay keep the changes of
open work until it needs them, and then knows as much as if it had received each change at once. Requests that arrive while a query is
under way wait for the same answer. A relay that is slow to answer is not asked for some time.
*/
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {WorkQueries} from '@currantcross/peer/gateway-peers';

/** How a wait for news ended. */
export type QueryOutcome = 'answered' | 'late';

export type RelayQueriesHost = Readonly<{
	recordQuery(outcome: QueryOutcome, durationMs: Milliseconds): void;
}>;

export type RelayQueries = Readonly<{
	/** The queries to send on the stream. */
	numbers: WorkQueries;
	/** Records a batch and the last query that it answers. */
	recordBatch(answeredQuery: number): void;
	/** Waits until the news up to now have arrived or are late. */
	waitForNews(): Promise<void>;
	/** Ends the queries and all waits. */
	close(): void;
}>;

/** Age up to which the relay's last answer counts as the latest news. */
const freshMs: Milliseconds = 8;
/** Time after which an answer is late, and the request is placed by what is known. */
const answerTimeoutMs: Milliseconds = 25;
/** Time for which a relay that was late is not asked. */
const lateRelayPauseMs: Milliseconds = 500;

type Query = Readonly<{number: number; sentAt: Timestamp; news: Promise<void>; end(): void}>;

/** Creates the queries of one stream. No query is sent before its first batch. */
export function createRelayQueries(host: RelayQueriesHost): RelayQueries {
	const closing = new AbortController();
	let lastNumber = 0;
	let pendingQuery: Query | undefined;
	let newsAt = Number.NEGATIVE_INFINITY;
	let pausedUntil = Number.POSITIVE_INFINITY;
	let unsentNumber: number | undefined;
	let wakeSender: (() => void) | undefined;

	async function waitForQuery(): Promise<void> {
		await new Promise<void>(resolve => {
			wakeSender = resolve;
		});
	}

	async function * streamNumbers(): AsyncGenerator<number> {
		while (!closing.signal.aborted) {
			if (unsentNumber === undefined) {
				await waitForQuery(); // eslint-disable-line no-await-in-loop -- one query after the other
			} else {
				const number = unsentNumber;
				unsentNumber = undefined;
				yield number;
			}
		}
	}

	function createQuery(): Query {
		lastNumber += 1;
		const sentAt = performance.now();
		let end = (): void => undefined;
		const news = new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				pausedUntil = performance.now() + lateRelayPauseMs;
				pendingQuery = undefined;
				host.recordQuery('late', performance.now() - sentAt);
				resolve();
			}, answerTimeoutMs);
			end = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		return {
			number: lastNumber, sentAt, news, end,
		};
	}

	return {
		numbers: streamNumbers(),
		recordBatch(answeredQuery) {
			pausedUntil = pausedUntil === Number.POSITIVE_INFINITY ? 0 : pausedUntil;
			if (pendingQuery !== undefined && answeredQuery >= pendingQuery.number) {
				const {sentAt, end} = pendingQuery;
				pendingQuery = undefined;
				newsAt = sentAt;
				host.recordQuery('answered', performance.now() - sentAt);
				end();
			}
		},
		async waitForNews() {
			const now = performance.now();
			if (closing.signal.aborted || now < pausedUntil || now - newsAt < freshMs) {
				return;
			}

			if (pendingQuery === undefined) {
				pendingQuery = createQuery();
				unsentNumber = pendingQuery.number;
				wakeSender?.();
			}

			await pendingQuery.news;
		},
		close() {
			closing.abort();
			pendingQuery?.end();
			wakeSender?.();
		},
	};
}
