/**
Keeps an entry's configuration in step with the log and with other entries.

In each data centre a few entries watch the object API; all of them exchange their sequence with a random peer now and
then, and at once after news. So a slow or dead object API delays nobody who has a peer that knows.
*/
import {
	createConfiguration, type Configuration, type ConfigurationDelta, type TicketEffect,
} from '@currantcross/core/configuration';
import type {Random} from '@currantcross/core/random';
import type {Milliseconds, Ticket} from '@currantcross/core/types';
import type {EntryPeerClient} from '@currantcross/peer/entry-peers';
import type {EntryListing} from '@currantcross/object-api/host-list';
import type {SubmissionOutcome} from '@currantcross/core/log';
import {createLogDriver, getEntryKey} from '@currantcross/object-api/log-driver';
import type {ObjectApi} from '@currantcross/object-api/object-api';
import type {ApplyTicketResult, InForceStatus} from '@currantcross/operator/operator-types';

export type ConfigurationSyncSettings = Readonly<{
	entryName: string;
	dataCentre: string;
	/** Unique to this life of the process. */
	writer: string;
}>;

export type ConfigurationSyncHost = Readonly<{
	api: ObjectApi;
	peers: EntryPeerClient;
	random: Random;
	getHash(text: string): number;
	/** Returns the other entries that are known. */
	getOtherEntries(): readonly EntryListing[];
	/** Reads the list of entries anew. */
	refreshEntries(): Promise<void>;
	/** Hears of each new sequence that is in force here. */
	onInForce(sequence: number): void;
}>;

export type ConfigurationSync = Readonly<{
	configuration: Configuration;
	start(): void;
	applyTicket(ticket: Ticket, waitsForAll: boolean): Promise<ApplyTicketResult>;
	getDelta(after: number): ConfigurationDelta;
	/** Hears that another entry knows of a sequence; fetches what lacks from it, or from the log where it does not answer. */
	learnSequence(sequence: number, entryName: string): void;
	close(): void;
}>;

const logName = 'configuration';
const minimumAppendGapMs = 100;
const retryDelayMs = 500;
const maximumBatchRecords = 50;
const applyBudgetMs = 10_000;
const exchangeIntervalMs = 2000;
const watchWaitMs = 20_000;
const watchRetryMs = 1000;
const watchersPerDataCentre = 2;
const waitBudgetMs = 30_000;
const waitPollMs = 50;
const newsPeerCount = 3;

async function wait(ms: Milliseconds): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms).unref();
	});
}

/** Creates the synchronisation; it does nothing before it is started. */
export function createConfigurationSync(settings: ConfigurationSyncSettings, host: ConfigurationSyncHost): ConfigurationSync {
	const configuration = createConfiguration();
	const log = createLogDriver<Ticket, TicketEffect>({
		name: logName,
		writer: settings.writer,
		minimumGapMs: minimumAppendGapMs,
		retryDelayMs,
		maximumBatchRecords,
		onFolded: sendNews,
	}, host.api, (ticket, sequence) => configuration.applyTicket(ticket, sequence));
	const closing = new AbortController();

	function sendNews(): void {
		host.onInForce(configuration.getSequence());
		for (const entry of drawEntries(newsPeerCount)) {
			void exchange(entry);
		}
	}

	function drawEntries(count: number): readonly EntryListing[] {
		const rest = [...host.getOtherEntries()];
		const drawn: EntryListing[] = [];
		while (drawn.length < count && rest.length > 0) {
			drawn.push(...rest.splice(host.random.getInteger(rest.length), 1));
		}

		return drawn;
	}

	/** Tells a peer the own sequence, and takes over what it knows beyond; returns the peer's sequence. */
	async function exchange(entry: EntryListing): Promise<number | undefined> {
		try {
			const delta = await host.peers.exchangeConfiguration(entry.peerUrl, configuration.getSequence());
			if (!closing.signal.aborted && configuration.mergeDelta(delta)) {
				log.transferState(configuration.getSequence());
			}

			return delta.sequence;
		} catch {
			return undefined;
		}
	}

	async function fetchSequence(sequence: number, entryName: string): Promise<void> {
		const entry = host.getOtherEntries().find(listing => listing.name === entryName);
		const known = entry === undefined ? undefined : await exchange(entry);
		if (known === undefined) {
			log.learnTail(sequence);
		}
	}

	async function exchangeForever(): Promise<void> {
		while (!closing.signal.aborted) {
			const [entry] = drawEntries(1);
			if (entry !== undefined) {
				// One exchange at a time bounds the control traffic of an entry.
				// eslint-disable-next-line no-await-in-loop
				await exchange(entry);
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(exchangeIntervalMs);
		}
	}

	/** Returns whether this entry is one of the few of its data centre that watch the object API. */
	function isWatcher(): boolean {
		const ownRank = host.getHash(settings.entryName);
		const neighbours = host.getOtherEntries().filter(entry => entry.dataCentre === settings.dataCentre);
		const earlier = neighbours.filter(entry => host.getHash(entry.name) < ownRank);
		return earlier.length < watchersPerDataCentre;
	}

	async function watchOnce(revision: number | undefined): Promise<number> {
		if (revision === undefined) {
			const page = await host.api.list({
				prefix: `log/${logName}/`, after: getEntryKey(logName, configuration.getSequence()), limit: 1,
			});
			learnItems(page.items.length);
			return page.revision;
		}

		const page = await host.api.watch(`log/${logName}/`, revision, watchWaitMs);
		learnItems(page.items.length);
		return page.revision;
	}

	function learnItems(count: number): void {
		if (count > 0) {
			log.learnTail(configuration.getSequence() + 1);
		}
	}

	async function watchForever(): Promise<void> {
		let revision: number | undefined;
		while (!closing.signal.aborted) {
			if (!isWatcher()) {
				// eslint-disable-next-line no-await-in-loop
				await wait(watchRetryMs);
				continue;
			}

			try {
				// A watch follows the one before it.
				// eslint-disable-next-line no-await-in-loop
				revision = await watchOnce(revision);
			} catch {
				// eslint-disable-next-line no-await-in-loop
				await wait(watchRetryMs * (0.5 + host.random.getFraction()));
			}
		}
	}

	async function waitForEntry(entry: EntryListing, sequence: number, startedAt: number): Promise<InForceStatus> {
		while (performance.now() - startedAt < waitBudgetMs && !closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const known = await exchange(entry);
			if (known !== undefined && known >= sequence) {
				return {entry: entry.name, dataCentre: entry.dataCentre, afterMs: performance.now() - startedAt};
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(waitPollMs);
		}

		return {entry: entry.name, dataCentre: entry.dataCentre};
	}

	async function waitForAll(sequence: number, startedAt: number): Promise<readonly InForceStatus[]> {
		await host.refreshEntries();
		const own = {entry: settings.entryName, dataCentre: settings.dataCentre, afterMs: performance.now() - startedAt};
		const others = host.getOtherEntries().map(async entry => waitForEntry(entry, sequence, startedAt));
		return [own, ...await Promise.all(others)];
	}

	return {
		configuration,
		start() {
			log.learnTail(1);
			void exchangeForever();
			void watchForever();
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
				void fetchSequence(sequence, entryName);
			}
		},
		close() {
			closing.abort();
			log.close();
		},
	};
}
