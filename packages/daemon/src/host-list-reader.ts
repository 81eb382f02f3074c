/**
Reads the host list again and again, and keeps the last that could be read.
*/
import {getErrorText} from '@currantcross/core/error-text';
import type {Random} from '@currantcross/core/random';
import {createHostListClient, type EntryListing, type HostList} from '@currantcross/object-api/host-list';
import type {Logger} from './logger.js';

export type HostListReaderHost = Readonly<{
	random: Random;
	logger: Logger;
	/** Hears of each change of the list. */
	onRead(hosts: HostList): void;
}>;

export type HostListReader = Readonly<{
	/** Reads the list once, and from then on again and again. */
	start(): Promise<void>;
	/** Reads the list once more, out of turn. */
	readNow(): Promise<void>;
	getEntries(): readonly EntryListing[];
	close(): void;
}>;

const intervalMs = 3000;
const timeoutMs = 2000;

/** Creates a reader; until the list was read, it knows the entries of the settings. */
export function createHostListReader(url: string, knownEntries: readonly EntryListing[], host: HostListReaderHost): HostListReader {
	const client = createHostListClient(url, timeoutMs);
	let entries = knownEntries;
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;

	async function readNow(): Promise<void> {
		try {
			const hosts = await client.readChange();
			if (hosts !== undefined) {
				entries = hosts.entries;
				host.onRead(hosts);
			}
		} catch (error) {
			host.logger.warn('hostListFailed', {reason: getErrorText(error)});
		}
	}

	async function readRepeatedly(): Promise<void> {
		await readNow();
		if (!isClosed) {
			timer = setTimeout(() => {
				void readRepeatedly();
			}, intervalMs * (0.75 + (host.random.getFraction() / 2)));
		}
	}

	return {
		start: readRepeatedly,
		readNow,
		getEntries: () => entries,
		close() {
			isClosed = true;
			clearTimeout(timer);
		},
	};
}
