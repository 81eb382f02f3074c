/**
Servers of the soak test: stand-ins, which the store lists with the addresses of their relays. Servers can drain or
crash.
*/
import type {Random} from '@currantcross/core/random';
import {startByteRelay, type ByteRelay} from '@currantcross/standins/byte-relay';
import {startPlatformServer, type PlatformServerStandin, type RunRecord} from '@currantcross/standins/platform-server-standin';
import type {PlatformStoreStandin} from '@currantcross/standins/platform-store-standin';
import {crashSegment, eventCount} from './soak-configuration.js';

export type SoakService = 'models' | 'shop';

export type SoakServer = {
	readonly id: string;
	readonly service: SoakService;
	readonly standin: PlatformServerStandin;
	readonly relay: ByteRelay;
	/** When the server crashed or was published as draining. */
	leftAt: number | undefined;
	/** When the server crashed on a prompt. */
	crashedAt: number | undefined;
	limit: SoakLimit | undefined;
	/** From when on all responses say that the server is leaving, while the store lists it as ready. */
	leavingFrom: number | undefined;
};

/** A limit that a server names from `from` to `to`. */
export type SoakLimit = {readonly requestsPerSecond: number; readonly from: number; to: number};

/** A request that a server ran. */
export type SoakRun = RunRecord & Readonly<{server: SoakServer}>;

export type SoakServers = Readonly<{
	/** Returns a random server that is neither draining nor crashed. */
	drawServer(): SoakServer | undefined;
	/** Starts a replacement, publishes a server as draining and removes it after `removeAfterMs`. */
	drain(server: SoakServer, removeAfterMs: number): Promise<void>;
	/** Starts a replacement, lets all responses of a server say that it is leaving, and removes it after `removeAfterMs`. */
	leave(server: SoakServer, removeAfterMs: number): Promise<void>;
	/** Removes a server at once and starts a replacement, which also accepts requests at the old address. */
	crash(server: SoakServer): Promise<void>;
	/** Lets a server name a limit, which it does until `limit.to` is set by `removeLimit`. */
	setLimit(server: SoakServer, requestsPerSecond: number): void;
	removeLimit(server: SoakServer): void;
	getServers(): readonly SoakServer[];
	getRuns(): readonly SoakRun[];
	getReservationCount(): number;
	/** Ends all faults of servers and of their relays. */
	removeFaults(): void;
	close(): Promise<void>;
}>;

const serverCounts: Readonly<Record<SoakService, number>> = {models: 4, shop: 3};
const eventPauseMs = 25;
/** Time after a crash on a prompt until a replacement starts, and until the entry expires. */
const restartMs = 700;
const expiryMs = 1500;
const addressPortPattern = /:(?<port>\d+)$/v;

/** Starts the servers and publishes them in the store. */
export async function startSoakServers(store: PlatformStoreStandin, random: Random): Promise<SoakServers> {
	const servers: SoakServer[] = [];
	let serverCount = 0;
	let isClosed = false;

	function publishServer(server: SoakServer, state: 'ready' | 'draining'): void {
		store.writeObject('servers', server.id, {
			service: server.service, address: `127.0.0.1:${server.relay.port}`, zone: 'east', slots: 11, state, born: serverCount,
		});
	}

	async function startServer(service: SoakService, port = 0): Promise<SoakServer> {
		serverCount += 1;
		const id = `${service}-${serverCount}`;
		const standin = await startPlatformServer({
			instanceId: id, eventCount: service === 'models' ? eventCount : undefined, eventPauseMs, port,
			...(service === 'models' ? {crashSegment} : {}),
			onCrash() {
				void breakServer(id);
			},
		});
		const targetPort = Number(addressPortPattern.exec(standin.address)?.groups?.port ?? 0);
		const server: SoakServer = {
			id, service, standin, relay: await startByteRelay(targetPort), leftAt: undefined, crashedAt: undefined, limit: undefined, leavingFrom: undefined,
		};
		servers.push(server);
		publishServer(server, 'ready');
		return server;
	}

	/** Ends a server that crashed on a prompt. Its entry expires later than its replacement starts. */
	async function breakServer(id: string): Promise<void> {
		const server = servers.find(other => other.id === id);
		if (server === undefined || server.crashedAt !== undefined) {
			return;
		}

		server.crashedAt = performance.now();
		server.leftAt ??= server.crashedAt;
		server.standin.close();
		await server.relay.close();
		setTimeout(() => {
			if (!isClosed) {
				void startServer(server.service);
			}
		}, restartMs);
		setTimeout(() => {
			store.removeObject('servers', id);
		}, expiryMs);
	}

	async function removeServer(server: SoakServer): Promise<void> {
		store.removeObject('servers', server.id);
		server.standin.close();
		await server.relay.close();
	}

	for (const service of ['models', 'shop'] as const) {
		for (let index = 0; index < serverCounts[service]; index += 1) {
			// eslint-disable-next-line no-await-in-loop
			await startServer(service);
		}
	}

	return {
		drawServer() {
			const activeServers = servers.filter(({leftAt}) => leftAt === undefined);
			return activeServers[random.getInteger(activeServers.length)];
		},
		async drain(server, removeAfterMs) {
			await startServer(server.service);
			publishServer(server, 'draining');
			server.leftAt = performance.now();
			setTimeout(() => {
				void removeServer(server);
			}, removeAfterMs);
		},
		async leave(server, removeAfterMs) {
			await startServer(server.service);
			server.standin.setLeaving(true);
			server.leavingFrom = performance.now();
			setTimeout(() => {
				server.leftAt ??= performance.now();
				void removeServer(server);
			}, removeAfterMs);
		},
		async crash(server) {
			server.leftAt = performance.now();
			await removeServer(server);
			await startServer(server.service, server.relay.port);
		},
		setLimit(server, requestsPerSecond) {
			server.limit = {requestsPerSecond, from: performance.now(), to: Number.POSITIVE_INFINITY};
			server.standin.setLimit(requestsPerSecond);
		},
		removeLimit(server) {
			server.standin.setLimit(undefined);
			if (server.limit !== undefined) {
				server.limit.to = performance.now();
			}
		},
		getServers: () => servers,
		getRuns: () => servers.flatMap(server => server.standin.runs.map(run => ({...run, server}))),
		getReservationCount: () => servers.reduce((sum, {standin}) => sum + standin.getReservations().length, 0),
		removeFaults() {
			for (const {standin, relay} of servers) {
				standin.setBehaviour({kind: 'serve'});
				relay.setFault({kind: 'none'});
			}
		},
		async close() {
			isClosed = true;
			await Promise.all(servers.map(async server => removeServer(server)));
		},
	};
}
