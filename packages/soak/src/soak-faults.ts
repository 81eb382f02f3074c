/**
The faults of the soak, drawn by the seed: in series and overlapping, each over after a while.
*/
import type {Random} from '@currantcross/core/random';
import type {RelayFault} from '@currantcross/standins/byte-relay';
import type {PlatformStoreStandin} from '@currantcross/standins/platform-store-standin';
import {createSoakConfiguration, steadyKey} from './soak-configuration.js';
import {
	pauseGateway, stopAndStartGateway, type SoakGateway, type TroubleSpan,
} from './soak-gateways.js';
import type {StoreTrouble} from './soak-checks.js';
import type {SoakServers} from './soak-servers.js';

export type SoakFaultsHost = Readonly<{
	random: Random;
	script: string;
	store: PlatformStoreStandin;
	servers: SoakServers;
	gateways: readonly SoakGateway[];
}>;

export type SoakFaults = Readonly<{
	/** Starts one fault. */
	perform(): void;
	/** Resolves when all faults that began are over. */
	waitForEnd(): Promise<void>;
	/** Returns a key that has not been taken away. */
	getKey(): string;
	getRevokedAt(): ReadonlyMap<string, number>;
	getStoreTroubles(): readonly StoreTrouble[];
	/** Returns how often each fault was played. */
	getCounts(): ReadonlyMap<string, number>;
}>;

const shortestFaultMs = 200;
const faultRangeMs = 2000;
const takeAwayAfterMs = 2600;
/** Share of the gateways that may be in trouble at once. */
const busyShare = 0.67;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Creates the faults of one run, and writes the first configuration. */
export function createSoakFaults(host: SoakFaultsHost): SoakFaults {
	const {random, script, store, servers, gateways} = host;
	const open = new Set<Promise<void>>();
	const counts = new Map<string, number>();
	const revokedAt = new Map<string, number>();
	const storeTroubles: StoreTrouble[] = [];
	let version = 1;
	let keyNumber = 1;
	let openStoreFaults = 0;

	function getKey(): string {
		return `key-${keyNumber}`;
	}

	function writeConfiguration(): void {
		version += 1 + random.getInteger(3);
		store.put('config', 'main', createSoakConfiguration(version, [steadyKey, getKey()]));
	}

	function drawMs(): number {
		return shortestFaultMs + random.getInteger(faultRangeMs);
	}

	async function runOnGateway(perform: (gateway: SoakGateway) => Promise<void>): Promise<void> {
		const idle = gateways.filter(({isBusy}) => !isBusy);
		const gateway = idle[random.getInteger(Math.max(1, idle.length))];
		if (gateway === undefined || gateways.length - idle.length >= gateways.length * busyShare) {
			return;
		}

		gateway.isBusy = true;
		await perform(gateway);
		gateway.isBusy = false;
	}

	async function breakStore({storeRelay, troubles}: SoakGateway, fault: RelayFault): Promise<void> {
		const trouble: TroubleSpan = {kind: 'cutOff', from: performance.now(), to: Number.POSITIVE_INFINITY};
		troubles.push(trouble);
		storeRelay.setFault(fault);
		await wait(drawMs());
		storeRelay.setFault({kind: 'none'});
		trouble.to = performance.now() + shortestFaultMs;
	}

	async function failStore(fault: 'busy' | 'silent' | 'reset'): Promise<void> {
		const trouble: StoreTrouble = {from: performance.now(), to: Number.POSITIVE_INFINITY};
		storeTroubles.push(trouble);
		openStoreFaults += 1;
		store.setFault(fault);
		await wait(drawMs());
		openStoreFaults -= 1;
		if (openStoreFaults === 0) {
			store.setFault('none');
		}

		// Lists are read again within a second of the store's return.
		trouble.to = performance.now() + 1000;
	}

	async function runBehaviour(behaviour: Parameters<Exclude<ReturnType<SoakServers['drawServer']>, undefined>['standin']['setBehaviour']>[0]): Promise<void> {
		const standin = servers.drawServer()?.standin;
		standin?.setBehaviour(behaviour);
		await wait(drawMs());
		standin?.setBehaviour({kind: 'serve'});
	}

	async function breakLink(fault: RelayFault): Promise<void> {
		const relay = servers.drawServer()?.relay;
		relay?.setFault(fault);
		await wait(drawMs());
		relay?.setFault({kind: 'none'});
	}

	const faults: Readonly<Record<string, () => Promise<void>>> = {
		killGateway: async () => runOnGateway(async gateway => stopAndStartGateway(gateway, script, 'SIGKILL', random.getInteger(800))),
		stopGateway: async () => runOnGateway(async gateway => stopAndStartGateway(gateway, script, 'SIGTERM', random.getInteger(800))),
		freezeGateway: async () => runOnGateway(async gateway => pauseGateway(gateway, drawMs())),
		reloadGateway: async () => runOnGateway(async gateway => {
			gateway.child.kill('SIGHUP');
		}),
		cutStoreBothWays: async () => runOnGateway(async gateway => breakStore(gateway, {kind: 'cut', ways: 'both'})),
		cutStoreOneWay: async () => runOnGateway(async gateway => breakStore(gateway, {kind: 'cut', ways: 'fromTarget'})),
		delayStore: async () => runOnGateway(async gateway => breakStore(gateway, {kind: 'delay', delayMs: 150 + random.getInteger(300)})),
		silenceStore: async () => runOnGateway(async gateway => {
			gateway.storeRelay.silence();
		}),
		failStore: async () => failStore((['busy', 'silent', 'reset'] as const)[random.getInteger(3)] ?? 'busy'),
		async compactStore() {
			store.compact();
		},
		async lagStore() {
			store.freezeStaleReads();
			await wait(drawMs());
			store.thawStaleReads();
		},
		refuse: async () => runBehaviour({kind: 'refuse'}),
		loseAnswers: async () => runBehaviour({kind: 'loseAnswer'}),
		breakStreams: async () => runBehaviour({kind: 'breakStream', afterEvents: random.getInteger(5)}),
		silenceServer: async () => runBehaviour({kind: 'silent'}),
		delayLink: async () => breakLink({kind: 'delay', delayMs: 30 + random.getInteger(250)}),
		cutLink: async () => breakLink({kind: 'cut', ways: (['both', 'toTarget', 'fromTarget'] as const)[random.getInteger(3)] ?? 'both'}),
		async silenceLink() {
			servers.drawServer()?.relay.silence();
		},
		async resetLink() {
			servers.drawServer()?.relay.reset();
		},
		async drainServer() {
			const server = servers.drawServer();
			await (server === undefined ? undefined : servers.drain(server, takeAwayAfterMs));
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
			revokedAt.set(key, performance.now());
		},
	};
	const names = Object.keys(faults);
	writeConfiguration();

	return {
		perform() {
			const name = names[random.getInteger(names.length)] ?? 'refuse';
			counts.set(name, (counts.get(name) ?? 0) + 1);
			const running = faults[name]?.() ?? Promise.resolve();
			open.add(running);
			void running.finally(() => {
				open.delete(running);
			});
		},
		async waitForEnd() {
			await Promise.all(open);
		},
		getKey,
		getRevokedAt: () => revokedAt,
		getStoreTroubles: () => storeTroubles,
		getCounts: () => counts,
	};
}
