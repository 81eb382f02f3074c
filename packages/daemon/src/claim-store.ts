/**
Claims of idempotency keys, partitioned into a fixed number of buckets with one replicated log each.

Rendezvous hashing assigns each bucket a preferred appender among the entries, which batches the records of all entries
and is normally the only one to read the log and apply its records. If entries disagree on the appender, their appends
conflict and one is retried, but no claim is granted twice, because the log orders the records. An entry that gets no
answer from the appender appends the record itself; appending a record twice has the same effect as appending it once.
*/
import {createClaims, type Claim, type ClaimRecord} from '@currantcross/core/claims';
import type {Milliseconds} from '@currantcross/core/types';
import type {SubmissionOutcome} from '@currantcross/core/replicated-log';
import type {EntryPeerClient} from '@currantcross/peer/entry-peers';
import type {EntryListing} from '@currantcross/object-api/host-list';
import {createLogDriver, type LogDriver} from '@currantcross/object-api/log-driver';
import type {ObjectApi} from '@currantcross/object-api/object-api';

export type ClaimStoreSettings = Readonly<{
	/** Unique to this run of the process; identifies it as a writer of the log. */
	writer: string;
	/** Must be the same at all entries. */
	bucketCount: number;
	entryName: string;
}>;

export type ClaimStoreHost = Readonly<{
	objectApi: ObjectApi;
	peerClient: EntryPeerClient;
	getHash(text: string): number;
	/** Returns the known entries other than this one. */
	getOtherEntries(): readonly EntryListing[];
}>;

export type ClaimStore = Readonly<{
	/** Submits the record to the bucket's preferred appender and returns the resulting claim. */
	submit(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>>;
	/** Appends the record at this entry and returns the resulting claim. */
	submitLocally(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>>;
	/** Waits for pending submissions, including outcomes whose callers have already been answered. */
	drain(): Promise<void>;
	close(): void;
}>;

type Bucket = LogDriver<ClaimRecord, Claim | undefined>;

const minimumCreateIntervalMs = 50;
const retryDelayMs = 100;
const maximumBatchRecords = 200;

/** Creates the store. A bucket's log is read on first use. */
export function createClaimStore(settings: ClaimStoreSettings, host: ClaimStoreHost): ClaimStore {
	const buckets = new Map<number, Bucket>();
	const pendingSubmissions = new Set<Promise<unknown>>();

	function createBucket(index: number): Bucket {
		const claims = createClaims();
		const driver = createLogDriver<ClaimRecord, Claim | undefined>({
			name: `claims-${index}`,
			writer: settings.writer,
			minimumCreateIntervalMs,
			retryDelayMs,
			maximumBatchRecords,
		}, host.objectApi, record => claims.applyRecord(record));
		driver.learnTail(1);
		return driver;
	}

	function getBucketIndex(key: string): number {
		return host.getHash(key) % settings.bucketCount;
	}

	function getBucket(key: string): Bucket {
		const index = getBucketIndex(key);
		const bucket = buckets.get(index) ?? createBucket(index);
		buckets.set(index, bucket);
		return bucket;
	}

	/** Returns the preferred appender of the key's bucket, or `undefined` if it is this entry. */
	function findPreferredAppender(key: string): EntryListing | undefined {
		const index = getBucketIndex(key);
		const getRank = (name: string): number => host.getHash(`${index}/${name}`);
		let preferred: EntryListing | undefined;
		let highestRank = getRank(settings.entryName);
		for (const listing of host.getOtherEntries()) {
			const rank = getRank(listing.name);
			if (rank > highestRank) {
				preferred = listing;
				highestRank = rank;
			}
		}

		return preferred;
	}

	async function submitLocally(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>> {
		return getBucket(record.key).submit(record, budgetMs);
	}

	async function submit(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>> {
		const outcome = submitToAppender(record, budgetMs);
		pendingSubmissions.add(outcome);
		try {
			return await outcome;
		} finally {
			pendingSubmissions.delete(outcome);
		}
	}

	/** Submits the record to the preferred appender, and locally with the remaining time if that fails. */
	async function submitToAppender(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>> {
		const appender = findPreferredAppender(record.key);
		if (appender === undefined) {
			return submitLocally(record, budgetMs);
		}

		const startedAt = performance.now();
		try {
			return await host.peerClient.appendClaim(appender.peerUrl, record, budgetMs);
		} catch {
			return submitLocally(record, Math.max(1, budgetMs - (performance.now() - startedAt)));
		}
	}

	return {
		submit,
		submitLocally,
		async drain() {
			await Promise.allSettled(pendingSubmissions);
		},
		close() {
			for (const bucket of buckets.values()) {
				bucket.close();
			}
		},
	};
}
