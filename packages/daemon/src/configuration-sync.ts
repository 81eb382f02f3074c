/**
Synchronises an entry's configuration with the replicated log and with other entries.

A few entries in each data centre watch the object API. Every entry exchanges its sequence with a random peer at a fixed
interval, and with several peers at once after a change. An entry therefore receives changes from its peers even while
the object API is slow or unavailable.
*/
import {
	createConfiguration, type Configuration, type ConfigurationDelta, type TicketEffect,
} from '@currantcross/core/configuration';
import type {Random} from '@currantcross/core/random';
import type {Milliseconds, Ticket} from '@currantcross/core/types';
import type {EntryPeerClient} from '@currantcross/peer/entry-peers';
import type {EntryListing} from '@currantcross/object-api/host-list';
import type {SubmissionOutcome} from '@currantcross/core/replicated-log';
import {createLogDriver, getLogEntryKey} from '@currantcross/object-api/log-driver';
import type {ObjectApi} from '@currantcross/object-api/object-api';
import type {ApplyTicketResult, InForceStatus} from '@currantcross/operator/operator-types';

export type ConfigurationSyncSettings = Readonly<{
	entryName: string;
	dataCentre: string;
	/** Unique to this run of the process; identifies it as a writer of the log. */
	writer: string;
}>;

export type ConfigurationSyncHost = Readonly<{
	objectApi: ObjectApi;
	peerClient: EntryPeerClient;
	random: Random;
	getHash(text: string): number;
	/** Returns the known entries other than this one. */
	getOtherEntries(): readonly EntryListing[];
	/** Reads the host list again, which updates the known entries. */
	readHostList(): Promise<void>;
	/** Called with the sequence that is in force at this entry, each time it increases. */
	onInForce(sequence: number): void;
}>;

export type ConfigurationSync = Readonly<{
	configuration: Configuration;
	start(): void;
	/** Appends a ticket to the log; `waitsForAll` says whether to wait until it is in force at all known entries. */
	applyTicket(ticket: Ticket, waitsForAll: boolean): Promise<ApplyTicketResult>;
	/** Returns the changes after a sequence. */
	getDelta(after: number): ConfigurationDelta;
	/** Learns that another entry has reached a sequence; fetches missing changes from it, or from the log if it does not answer. */
	learnSequence(sequence: number, entryName: string): void;
	close(): void;
}>;

const logName = 'configuration';
const minimumCreateIntervalMs = 100;
const retryDelayMs = 500;
const maximumBatchRecords = 50;
const applyBudgetMs = 10_000;
const exchangeIntervalMs = 2000;
const watchWaitMs = 20_000;
const watchRetryMs = 1000;
const watchersPerDataCentre = 2;
const inForceTimeoutMs = 30_000;
const inForcePollMs = 50;
const notifiedPeerCount = 3;

async function wait(ms: Milliseconds): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms).unref();
	});
}

/** Creates the synchronisation, which is idle until `start` is called. */
export function createConfigurationSync(settings: ConfigurationSyncSettings, host: ConfigurationSyncHost): ConfigurationSync {
	const configuration = createConfiguration();
	const log = createLogDriver<Ticket, TicketEffect>({
		name: logName,
		writer: settings.writer,
		minimumCreateIntervalMs,
		retryDelayMs,
		maximumBatchRecords,
		onApplied: publishSequence,
	}, host.objectApi, configuration.applyTicket, configuration.getTransferredEffect);
	const closeController = new AbortController();

	/** Reports the sequence in force, and exchanges it with some random peers so that they learn of a change immediately. */
	function publishSequence(): void {
		host.onInForce(configuration.getSequence());
		for (const entry of chooseRandomEntries(notifiedPeerCount)) {
			void exchange(entry);
		}
	}

	function chooseRandomEntries(count: number): readonly EntryListing[] {
		const remaining = [...host.getOtherEntries()];
		const chosen: EntryListing[] = [];
		while (chosen.length < count && remaining.length > 0) {
			chosen.push(...remaining.splice(host.random.getInteger(remaining.length), 1));
		}

		return chosen;
	}

	/** Sends this entry's sequence to a peer and merges the changes that it returns; returns the peer's sequence. */
	async function exchange(entry: EntryListing): Promise<number | undefined> {
		try {
			const delta = await host.peerClient.exchangeConfiguration(entry.peerUrl, configuration.getSequence());
			if (!closeController.signal.aborted && configuration.mergeDelta(delta)) {
				log.transferState(configuration.getSequence());
			}

			return delta.sequence;
		} catch {
			return undefined;
		}
	}

	/** Fetches changes from the named entry; makes the log read them if that entry does not answer. */
	async function fetchChanges(sequence: number, entryName: string): Promise<void> {
		const entry = host.getOtherEntries().find(listing => listing.name === entryName);
		const peerSequence = entry === undefined ? undefined : await exchange(entry);
		if (peerSequence === undefined) {
			log.learnTail(sequence);
		}
	}

	async function runExchangeLoop(): Promise<void> {
		while (!closeController.signal.aborted) {
			const [entry] = chooseRandomEntries(1);
			if (entry !== undefined) {
				// Only one periodic exchange runs at a time, which bounds the control traffic of an entry.
				// eslint-disable-next-line no-await-in-loop
				await exchange(entry);
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(exchangeIntervalMs);
		}
	}

	/** Returns whether this entry is one of those in its data centre that watch the object API. */
	function isWatcher(): boolean {
		const ownRank = host.getHash(settings.entryName);
		const sameDataCentreEntries = host.getOtherEntries().filter(entry => entry.dataCentre === settings.dataCentre);
		const lowerRankedEntries = sameDataCentreEntries.filter(entry => host.getHash(entry.name) < ownRank);
		return lowerRankedEntries.length < watchersPerDataCentre;
	}

	/** Lists new log entries if there is no revision yet; otherwise waits for changes after it. Returns the next revision. */
	async function watchOnce(revision: number | undefined): Promise<number> {
		if (revision === undefined) {
			const page = await host.objectApi.list({
				prefix: `log/${logName}/`, after: getLogEntryKey(logName, configuration.getSequence()), limit: 1,
			});
			learnLogEntries(page.items.length);
			return page.revision;
		}

		const page = await host.objectApi.watch(`log/${logName}/`, revision, watchWaitMs);
		learnLogEntries(page.items.length);
		return page.revision;
	}

	/** Makes the log read its new entries if the object API returned any. */
	function learnLogEntries(count: number): void {
		if (count > 0) {
			log.learnTail(configuration.getSequence() + 1);
		}
	}

	async function runWatchLoop(): Promise<void> {
		let revision: number | undefined;
		while (!closeController.signal.aborted) {
			if (!isWatcher()) {
				// eslint-disable-next-line no-await-in-loop
				await wait(watchRetryMs);
				continue;
			}

			try {
				// Each watch starts at the revision that the previous one returned.
				// eslint-disable-next-line no-await-in-loop
				revision = await watchOnce(revision);
			} catch {
				// eslint-disable-next-line no-await-in-loop
				await wait(watchRetryMs * (0.5 + host.random.getFraction()));
			}
		}
	}

	/** Polls an entry until it has reached the sequence; the result has no `afterMs` if it does not do so in time. */
	async function waitForEntry(entry: EntryListing, sequence: number, startedAt: number): Promise<InForceStatus> {
		while (performance.now() - startedAt < inForceTimeoutMs && !closeController.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const peerSequence = await exchange(entry);
			if (peerSequence !== undefined && peerSequence >= sequence) {
				return {entry: entry.name, dataCentre: entry.dataCentre, afterMs: performance.now() - startedAt};
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(inForcePollMs);
		}

		return {entry: entry.name, dataCentre: entry.dataCentre};
	}

	async function waitForAll(sequence: number, startedAt: number): Promise<readonly InForceStatus[]> {
		await host.readHostList();
		const ownEntry = {entry: settings.entryName, dataCentre: settings.dataCentre, afterMs: performance.now() - startedAt};
		const others = host.getOtherEntries().map(async entry => waitForEntry(entry, sequence, startedAt));
		return [ownEntry, ...await Promise.all(others)];
	}

	return {
		configuration,
		start() {
			log.learnTail(1);
			void runExchangeLoop();
			void runWatchLoop();
		},
		async applyTicket(ticket, waitsForAll) {
			const outcome: SubmissionOutcome<TicketEffect> = await log.submit(ticket, applyBudgetMs);
			if (outcome.kind === 'expired') {
				return {kind: 'unsettled', mayTakeEffect: outcome.mayTakeEffect};
			}

			const {effect} = outcome;
			if (!waitsForAll || effect.kind === 'refused') {
				return {kind: 'settled', effect, inForce: []};
			}

			return {kind: 'settled', effect, inForce: await waitForAll(effect.sequence, performance.now())};
		},
		getDelta: after => configuration.getDelta(after),
		learnSequence(sequence, entryName) {
			if (sequence > configuration.getSequence()) {
				void fetchChanges(sequence, entryName);
			}
		},
		close() {
			closeController.abort();
			log.close();
		},
	};
}
