/**
Faults of the soak test, drawn with the seeded random number generator. They may overlap, and each ends after a limited time.
*/
import type {Random} from '@currantcross/core/random';
import type {RelayFault} from '@currantcross/standins/byte-relay';
import type {PlatformStoreStandin} from '@currantcross/standins/platform-store-standin';
import {createSoakConfiguration, permanentKey} from './soak-configuration.js';
import {
	pauseGateway, stopAndStartGateway, type SoakGateway, type GatewayDisruption,
} from './soak-gateways.js';
import type {StoreDisruption} from './soak-checks.js';
import type {SoakServer, SoakServers} from './soak-servers.js';

export type SoakFaultsContext = Readonly<{
	random: Random;
	/** Draws the faults that depend on prompts and rates. A generator of its own keeps the other faults of a seed as they are. */
	serverRandom: Random;
	/** Draws the restores of the store, for the same reason. */
	restoreRandom: Random;
	/** Draws what servers announce in their responses, for the same reason. */
	announcementRandom: Random;
	script: string;
	store: PlatformStoreStandin;
	servers: SoakServers;
	gateways: readonly SoakGateway[];
}>;

export type SoakFaults = Readonly<{
	/** Starts a randomly drawn fault. */
	startRandomFault(): void;
	/** Starts crashes on a segment, or lets a server name a limit, now and then. */
	startOccasionalServerFault(): void;
	/** Lets the store go back to a copy now and then. */
	startOccasionalRestore(): void;
	/** Lets a server say that it is leaving, or ask for no requests for some time, now and then. */
	startOccasionalAnnouncement(): void;
	/** Resolves once all started faults have ended. */
	waitForEnd(): Promise<void>;
	/** Returns whether callers send prompts on which servers crash. */
	areCrashesActive(): boolean;
	/** Returns a key that is not revoked. */
	getKey(): string;
	/** Returns when each revoked key was removed from the configuration. */
	getRevocationTimes(): ReadonlyMap<string, number>;
	getStoreDisruptions(): readonly StoreDisruption[];
	/** Returns how often each fault was drawn. */
	getCounts(): ReadonlyMap<string, number>;
}>;

/** Share of the fault rounds in which a server announces something. */
const announcementShare = 0.1;
const minimumRestMs = 800;
const restRangeMs = 2500;
const minimumFaultMs = 200;
const faultRangeMs = 2000;
/** Duration of the faults that depend on prompts and rates; longer than the others, since bounds apply only after some seconds. */
const minimumServerFaultMs = 4000;
const serverFaultRangeMs = 6000;
/** Share of the random faults that such a fault accompanies. */
const serverFaultShare = 0.12;
/** Share of the random faults that a restore of the store accompanies. */
const restoreShare = 0.08;
const copyAgeRangeMs = 4000;
const restoreAwayRangeMs = 1500;
/** Time within which the operator and the servers write again what a restore has undone. */
const rewriteRangeMs = 1900;
const revisionRange = 200;
const watchesAtRestore = ['answered', 'kept', 'cut', 'silent'] as const;
const limitsPerSecond = [0.5, 1, 3] as const;
/** Time after which a draining server is removed. */
const removeAfterMs = 2600;
/** A gateway fault starts only while less than this share of the gateways has one. */
const maximumFaultyShare = 0.67;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Creates the faults of one run and writes the first configuration. */
export function createSoakFaults(context: SoakFaultsContext): SoakFaults {
	const {random, serverRandom, restoreRandom, announcementRandom, script, store, servers, gateways} = context;
	const activeFaults = new Set<Promise<void>>();
	const counts = new Map<string, number>();
	const revocationTimes = new Map<string, number>();
	const storeDisruptions: StoreDisruption[] = [];
	let version = 1;
	let keyNumber = 1;
	let activeStoreFaultCount = 0;
	let activeCrashCount = 0;
	/** Whether a restore is in progress; a store has one copy at a time. */
	let isRestoring = false;

	function getKey(): string {
		return `key-${keyNumber}`;
	}

	function writeConfiguration(): void {
		version += 1 + random.getInteger(3);
		store.writeObject('config', 'main', createSoakConfiguration(version, [permanentKey, getKey()]));
	}

	function drawDurationMs(): number {
		return minimumFaultMs + random.getInteger(faultRangeMs);
	}

	/** Applies a fault to a random gateway that has none, unless too many gateways have one. */
	async function runOnGateway(applyFault: (gateway: SoakGateway) => Promise<void>): Promise<void> {
		const faultFreeGateways = gateways.filter(({hasActiveFault}) => !hasActiveFault);
		const gateway = faultFreeGateways[random.getInteger(Math.max(1, faultFreeGateways.length))];
		if (gateway === undefined || gateways.length - faultFreeGateways.length >= gateways.length * maximumFaultyShare) {
			return;
		}

		gateway.hasActiveFault = true;
		await applyFault(gateway);
		gateway.hasActiveFault = false;
	}

	async function breakStoreLink({storeRelay, disruptions}: SoakGateway, fault: RelayFault): Promise<void> {
		const disruption: GatewayDisruption = {kind: 'cutOff', from: performance.now(), to: Number.POSITIVE_INFINITY};
		disruptions.push(disruption);
		storeRelay.setFault(fault);
		await wait(drawDurationMs());
		storeRelay.setFault({kind: 'none'});
		disruption.to = performance.now() + minimumFaultMs;
	}

	async function failStore(fault: 'busy' | 'silent' | 'reset'): Promise<void> {
		await failStoreFor(fault, drawDurationMs());
	}

	async function failStoreFor(fault: 'busy' | 'silent' | 'reset', durationMs: number): Promise<void> {
		const disruption: StoreDisruption = {from: performance.now(), to: Number.POSITIVE_INFINITY};
		storeDisruptions.push(disruption);
		activeStoreFaultCount += 1;
		store.setFault(fault);
		await wait(durationMs);
		activeStoreFaultCount -= 1;
		if (activeStoreFaultCount === 0) {
			store.setFault('none');
		}

		// The gateways read lists again within a second after the store recovers.
		disruption.to = performance.now() + 1000;
	}

	/** Takes a copy of the store and goes back to it later, at once or after some time away. */
	async function restoreStore(): Promise<void> {
		store.takeCopy();
		await wait(minimumFaultMs + restoreRandom.getInteger(copyAgeRangeMs));
		const disruption: StoreDisruption = {from: performance.now(), to: Number.POSITIVE_INFINITY};
		storeDisruptions.push(disruption);
		if (restoreRandom.getFraction() < 0.5) {
			await failStoreFor('reset', restoreRandom.getInteger(restoreAwayRangeMs));
		}

		store.restoreCopy(watchesAtRestore[restoreRandom.getInteger(watchesAtRestore.length)] ?? 'kept');
		await wait(restoreRandom.getInteger(rewriteRangeMs));
		store.rewriteLostObjects();
		store.advanceRevision(restoreRandom.getInteger(revisionRange));
		disruption.to = performance.now() + 1000;
	}

	async function applyBehaviour(behaviour: Parameters<Exclude<ReturnType<SoakServers['drawServer']>, undefined>['standin']['setBehaviour']>[0]): Promise<void> {
		const standin = servers.drawServer()?.standin;
		standin?.setBehaviour(behaviour);
		await wait(drawDurationMs());
		standin?.setBehaviour({kind: 'serve'});
	}

	async function breakServerLink(fault: RelayFault): Promise<void> {
		const relay = servers.drawServer()?.relay;
		relay?.setFault(fault);
		await wait(drawDurationMs());
		relay?.setFault({kind: 'none'});
	}

	const faults: Readonly<Record<string, () => Promise<void>>> = {
		killGateway: async () => runOnGateway(async gateway => stopAndStartGateway(gateway, script, 'SIGKILL', random.getInteger(800))),
		stopGateway: async () => runOnGateway(async gateway => stopAndStartGateway(gateway, script, 'SIGTERM', random.getInteger(800))),
		freezeGateway: async () => runOnGateway(async gateway => pauseGateway(gateway, drawDurationMs())),
		reloadGateway: async () => runOnGateway(async gateway => {
			gateway.child.kill('SIGHUP');
		}),
		cutStoreBothWays: async () => runOnGateway(async gateway => breakStoreLink(gateway, {kind: 'cut', directions: 'both'})),
		cutStoreOneWay: async () => runOnGateway(async gateway => breakStoreLink(gateway, {kind: 'cut', directions: 'fromTarget'})),
		delayStore: async () => runOnGateway(async gateway => breakStoreLink(gateway, {kind: 'delay', delayMs: 150 + random.getInteger(300)})),
		silenceStore: async () => runOnGateway(async gateway => {
			gateway.storeRelay.blackholeConnections();
		}),
		failStore: async () => failStore((['busy', 'silent', 'reset'] as const)[random.getInteger(3)] ?? 'busy'),
		async compactStore() {
			store.compact();
		},
		async lagStore() {
			store.startStaleReads();
			await wait(drawDurationMs());
			store.stopStaleReads();
		},
		refuse: async () => applyBehaviour({kind: 'refuse'}),
		loseAnswers: async () => applyBehaviour({kind: 'loseAnswer'}),
		breakStreams: async () => applyBehaviour({kind: 'breakStream', afterEvents: random.getInteger(5)}),
		silenceServer: async () => applyBehaviour({kind: 'silent'}),
		delayLink: async () => breakServerLink({kind: 'delay', delayMs: 30 + random.getInteger(250)}),
		cutLink: async () => breakServerLink({kind: 'cut', directions: (['both', 'toTarget', 'fromTarget'] as const)[random.getInteger(3)] ?? 'both'}),
		async silenceLink() {
			servers.drawServer()?.relay.blackholeConnections();
		},
		async resetLink() {
			servers.drawServer()?.relay.resetConnections();
		},
		async drainServer() {
			const server = servers.drawServer();
			await (server === undefined ? undefined : servers.drain(server, removeAfterMs));
		},
		async crashServer() {
			const server = servers.drawServer();
			await (server === undefined ? undefined : servers.crash(server));
		},
		async changeConfiguration() {
			writeConfiguration();
		},
		async revokeKey() {
			const key = getKey();
			keyNumber += 1;
			writeConfiguration();
			revocationTimes.set(key, performance.now());
		},
	};
	const serverFaults: Readonly<Record<string, () => Promise<void>>> = {
		async crashOnSegment() {
			activeCrashCount += 1;
			await wait(minimumServerFaultMs + serverRandom.getInteger(serverFaultRangeMs));
			activeCrashCount -= 1;
		},
		async limitServer() {
			const unlimited = servers.getServers().filter(({leftAt, limit}) => leftAt === undefined && limit === undefined);
			const server = unlimited[serverRandom.getInteger(Math.max(1, unlimited.length))];
			if (server !== undefined) {
				servers.setLimit(server, limitsPerSecond[serverRandom.getInteger(limitsPerSecond.length)] ?? 1);
				await wait(minimumServerFaultMs + serverRandom.getInteger(serverFaultRangeMs));
				servers.removeLimit(server);
			}
		},
	};
	const announcements: Readonly<Record<string, () => Promise<void>>> = {
		async leaveServer() {
			const server = drawAnnouncing();
			await (server === undefined ? undefined : servers.leave(server, removeAfterMs));
		},
		async askForTime() {
			const server = drawAnnouncing();
			server?.standin.setBehaviour({kind: 'refuse', restMs: minimumRestMs + announcementRandom.getInteger(restRangeMs)});
			await wait(minimumServerFaultMs + announcementRandom.getInteger(serverFaultRangeMs));
			server?.standin.setBehaviour({kind: 'serve'});
		},
	};

	/** Returns a random server that is neither leaving nor gone. */
	function drawAnnouncing(): SoakServer | undefined {
		const active = servers.getServers().filter(({leftAt, leavingFrom}) => leftAt === undefined && leavingFrom === undefined);
		return active[announcementRandom.getInteger(Math.max(1, active.length))];
	}

	const announcementNames = Object.keys(announcements);
	const faultNames = Object.keys(faults);
	const serverFaultNames = Object.keys(serverFaults);
	writeConfiguration();

	function startFault(name: string, run: (() => Promise<void>) | undefined): void {
		counts.set(name, (counts.get(name) ?? 0) + 1);
		const running = run?.() ?? Promise.resolve();
		activeFaults.add(running);
		void running.finally(() => {
			activeFaults.delete(running);
		});
	}

	return {
		startRandomFault() {
			const name = faultNames[random.getInteger(faultNames.length)] ?? 'refuse';
			startFault(name, faults[name]);
		},
		startOccasionalServerFault() {
			if (serverRandom.getFraction() < serverFaultShare) {
				const name = serverFaultNames[serverRandom.getInteger(serverFaultNames.length)] ?? 'limitServer';
				startFault(name, serverFaults[name]);
			}
		},
		startOccasionalAnnouncement() {
			if (announcementRandom.getFraction() < announcementShare) {
				const name = announcementNames[announcementRandom.getInteger(announcementNames.length)] ?? 'leaveServer';
				startFault(name, announcements[name]);
			}
		},
		startOccasionalRestore() {
			if (!isRestoring && restoreRandom.getFraction() < restoreShare) {
				isRestoring = true;
				startFault('restoreStore', async () => {
					await restoreStore();
					isRestoring = false;
				});
			}
		},
		async waitForEnd() {
			await Promise.all(activeFaults);
		},
		areCrashesActive: () => activeCrashCount > 0,
		getKey,
		getRevocationTimes: () => revocationTimes,
		getStoreDisruptions: () => storeDisruptions,
		getCounts: () => counts,
	};
}
