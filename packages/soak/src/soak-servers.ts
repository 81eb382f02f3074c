/**
The soak's servers: stand-ins behind relays, listed in the store, and what befalls them.
*/
import type {Random} from '@currantcross/core/random';
import {startByteRelay, type ByteRelay} from '@currantcross/standins/byte-relay';
import {startPlatformServer, type PlatformServerStandin, type RunRecord} from '@currantcross/standins/platform-server-standin';
import type {PlatformStoreStandin} from '@currantcross/standins/platform-store-standin';
import {eventCount} from './soak-configuration.js';

export type SoakService = 'models' | 'shop';

export type SoakServer = {
	readonly id: string;
	readonly service: SoakService;
	readonly standin: PlatformServerStandin;
	readonly relay: ByteRelay;
	/** When the store was told that it leaves. */
	leftAt: number | undefined;
};

/** A request that a server ran. */
export type SoakRun = RunRecord & Readonly<{server: SoakServer}>;

export type SoakServers = Readonly<{
	/** Returns a server that is not leaving. */
	drawServer(): SoakServer | undefined;
	/** Lists a server as leaving, and takes it away later; another one joins. */
	drain(server: SoakServer, takeAwayAfterMs: number): Promise<void>;
	/** Ends a server at once. The next one starts at its address. */
	crash(server: SoakServer): Promise<void>;
	getRuns(): readonly SoakRun[];
	getReservationCount(): number;
	healAll(): void;
	close(): Promise<void>;
}>;

const serverCounts: Readonly<Record<SoakService, number>> = {models: 4, shop: 3};
const eventPauseMs = 25;
const portOfAddress = /:(?<port>\d+)$/v;

/** Starts the servers and lists them. */
export async function startSoakServers(store: PlatformStoreStandin, random: Random): Promise<SoakServers> {
	const servers: SoakServer[] = [];
	let serverCount = 0;

	function list(server: SoakServer, state: 'ready' | 'draining'): void {
		store.put('servers', server.id, {
			service: server.service, address: `127.0.0.1:${server.relay.port}`, zone: 'east', slots: 11, state, born: serverCount,
		});
	}

	async function startServer(service: SoakService, port = 0): Promise<SoakServer> {
		serverCount += 1;
		const id = `${service}-${serverCount}`;
		const standin = await startPlatformServer({
			instanceId: id, eventCount: service === 'models' ? eventCount : undefined, eventPauseMs, port,
		});
		const targetPort = Number(portOfAddress.exec(standin.address)?.groups?.port ?? 0);
		const server: SoakServer = {
			id, service, standin, relay: await startByteRelay(targetPort), leftAt: undefined,
		};
		servers.push(server);
		list(server, 'ready');
		return server;
	}

	async function takeAway(server: SoakServer): Promise<void> {
		store.remove('servers', server.id);
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
			const staying = servers.filter(({leftAt}) => leftAt === undefined);
			return staying[random.getInteger(staying.length)];
		},
		async drain(server, takeAwayAfterMs) {
			await startServer(server.service);
			list(server, 'draining');
			server.leftAt = performance.now();
			setTimeout(() => {
				void takeAway(server);
			}, takeAwayAfterMs);
		},
		async crash(server) {
			server.leftAt = performance.now();
			await takeAway(server);
			await startServer(server.service, server.relay.port);
		},
		getRuns: () => servers.flatMap(server => server.standin.runs.map(run => ({...run, server}))),
		getReservationCount: () => servers.reduce((sum, {standin}) => sum + standin.getReservations().length, 0),
		healAll() {
			for (const {standin, relay} of servers) {
				standin.setBehaviour({kind: 'serve'});
				relay.setFault({kind: 'none'});
			}
		},
		async close() {
			await Promise.all(servers.map(async server => takeAway(server)));
		},
	};
}
