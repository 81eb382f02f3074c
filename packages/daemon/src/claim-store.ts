/**
Claims of idempotency keys, spread over the logs of a fixed number of buckets.
*/
import {createClaims, type Claim, type ClaimRecord} from '@currantcross/core/claims';
import type {Milliseconds} from '@currantcross/core/types';
import {createLogDriver, type LogDriver, type SubmissionOutcome} from '@currantcross/platform/log-driver';
import type {ObjectApi} from '@currantcross/platform/object-api';

export type ClaimStoreSettings = Readonly<{
	/** Unique to this life of the process. */
	writer: string;
	/** The same at all entries. */
	bucketCount: number;
}>;

export type ClaimStore = Readonly<{
	/** Appends the record and returns the claim as it stands afterwards. */
	submit(record: ClaimRecord, budgetMs: Milliseconds): Promise<SubmissionOutcome<Claim | undefined>>;
	close(): void;
}>;

type Bucket = LogDriver<ClaimRecord, Claim | undefined>;

const minimumAppendGapMs = 50;
const retryDelayMs = 100;
const maximumBatchRecords = 200;

/** Creates the store; a bucket's log is read when it is first used. */
export function createClaimStore(settings: ClaimStoreSettings, api: ObjectApi, getHash: (text: string) => number): ClaimStore {
	const buckets = new Map<number, Bucket>();

	function createBucket(index: number): Bucket {
		const claims = createClaims();
		const driver = createLogDriver<ClaimRecord, Claim | undefined>({
			name: `claims-${index}`,
			writer: settings.writer,
			minimumGapMs: minimumAppendGapMs,
			retryDelayMs,
			maximumBatchRecords,
		}, api, record => claims.applyRecord(record));
		driver.learnTail(1);
		return driver;
	}

	function getBucket(key: string): Bucket {
		const index = getHash(key) % settings.bucketCount;
		const bucket = buckets.get(index) ?? createBucket(index);
		buckets.set(index, bucket);
		return bucket;
	}

	return {
		submit: async (record, budgetMs) => getBucket(record.key).submit(record, budgetMs),
		close() {
			for (const bucket of buckets.values()) {
				bucket.close();
			}
		},
	};
}
