/**
Polls the host list and keeps the last version that was read successfully.
*/
import {getErrorText} from '@currantcross/core/error-text';
import type {Random} from '@currantcross/core/random';
import {createHostListClient, type EntryListing, type HostList} from '@currantcross/object-api/host-list';
import type {Logger} from './logger.js';

export type HostListReaderHost = Readonly<{
	random: Random;
	logger: Logger;
	/** Called with the new list after each change. */
	onChange(hostList: HostList): void;
}>;

export type HostListReader = Readonly<{
	/** Reads the list once, then polls it until the reader is closed. */
	start(): Promise<void>;
	/** Reads the list immediately, independently of the polling interval. */
	readNow(): Promise<void>;
	getEntries(): readonly EntryListing[];
	close(): void;
}>;

const pollIntervalMs = 3000;
const requestTimeoutMs = 2000;

/** Creates a reader, which returns `initialEntries` until the list is read for the first time. */
export function createHostListReader(url: string, initialEntries: readonly EntryListing[], host: HostListReaderHost): HostListReader {
	const client = createHostListClient(url, requestTimeoutMs);
	let entries = initialEntries;
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;

	async function readNow(): Promise<void> {
		try {
			const hostList = await client.readIfChanged();
			if (hostList !== undefined) {
				entries = hostList.entries;
				host.onChange(hostList);
			}
		} catch (error) {
			host.logger.warn('hostListFailed', {reason: getErrorText(error)});
		}
	}

	async function readPeriodically(): Promise<void> {
		await readNow();
		if (!isClosed) {
			timer = setTimeout(() => {
				void readPeriodically();
			}, pollIntervalMs * (0.75 + (host.random.getFraction() / 2)));
		}
	}

	return {
		start: readPeriodically,
		readNow,
		getEntries: () => entries,
		close() {
			isClosed = true;
			clearTimeout(timer);
		},
	};
}
