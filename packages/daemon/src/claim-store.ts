/**
Claims of idempotency keys, spread over the logs of a fixed number of buckets.

Each bucket has a usual appender among the entries, by rendezvous hash: it batches the records of all, and is alone in
folding the log. A wrong guess costs a collision, never a double, since the log itself decides: an entry that gets no
answer from the appender appends by itself, and a record that is appended twice has the effect of one.
*/
import {createClaims, type Claim, type ClaimRecord} from '@currantcross/core/claims';
import type {Milliseconds} from '@currantcross/core/types';
import type {SubmissionOutcome} from '@currantcross/core/replicated-log';
import type {EntryPeerClient} from '@currantcross/peer/entry-peers';
import type {EntryListing} from '@currantcross/object-api/host-list';
import {createLogDriver, type LogDriver} from '@currantcross/object-api/log-driver';
import type {ObjectApi} from '@currantcross/object-api/object-api';

export type ClaimStoreSettings = Readonly<{
	/** Unique to this life of the process. */
	writer: string;
	/** The same at all entries. */
	bucketCount: number;
	entryName: string;
}>;

export type ClaimStoreHost = Readonly<{
	api: ObjectApi;
	peers: EntryPeerClient;
	getHash(text: string): number;
	/** Returns the other entries that are known. */
	getOtherEntries(): readonly EntryListing[];
}>;

export type ClaimStore = Readonly<{
	/** Appends the record and returns the claim as it stands afterwards. */
	submit(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>>;
	/** Does the same without asking the bucket's usual appender, for instance because this is it. */
	submitHere(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>>;
	/** Waits until what was submitted has ended, for instance outcomes whose callers have their answers already. */
	drain(): Promise<void>;
	close(): void;
}>;

type Bucket = LogDriver<ClaimRecord, Claim | undefined>;

const minimumAppendGapMs = 50;
const retryDelayMs = 100;
const maximumBatchRecords = 200;

/** Creates the store; a bucket's log is read when it is first used. */
export function createClaimStore(settings: ClaimStoreSettings, host: ClaimStoreHost): ClaimStore {
	const buckets = new Map<number, Bucket>();
	const pending = new Set<Promise<unknown>>();

	function createBucket(index: number): Bucket {
		const claims = createClaims();
		const driver = createLogDriver<ClaimRecord, Claim | undefined>({
			name: `claims-${index}`,
			writer: settings.writer,
			minimumCreateIntervalMs: minimumAppendGapMs,
			retryDelayMs,
			maximumBatchRecords,
		}, host.api, record => claims.applyRecord(record));
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

	/** Returns the usual appender of a key's bucket, or `undefined` where it is this entry. */
	function findAppender(key: string): EntryListing | undefined {
		const index = getBucketIndex(key);
		const getRank = (name: string): number => host.getHash(`${index}/${name}`);
		let best: EntryListing | undefined;
		let bestRank = getRank(settings.entryName);
		for (const listing of host.getOtherEntries()) {
			const rank = getRank(listing.name);
			if (rank > bestRank) {
				best = listing;
				bestRank = rank;
			}
		}

		return best;
	}

	async function submitHere(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>> {
		return getBucket(record.key).submit(record, budgetMs);
	}

	async function submit(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>> {
		const outcome = submitToAppender(record, budgetMs);
		pending.add(outcome);
		try {
			return await outcome;
		} finally {
			pending.delete(outcome);
		}
	}

	async function submitToAppender(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>> {
		const appender = findAppender(record.key);
		if (appender === undefined) {
			return submitHere(record, budgetMs);
		}

		const startedAt = performance.now();
		try {
			return await host.peers.appendClaim(appender.peerUrl, record, budgetMs);
		} catch {
			return submitHere(record, Math.max(1, budgetMs - (performance.now() - startedAt)));
		}
	}

	return {
		submit,
		submitHere,
		async drain() {
			await Promise.allSettled(pending);
		},
		close() {
			for (const bucket of buckets.values()) {
				bucket.close();
			}
		},
	};
}
