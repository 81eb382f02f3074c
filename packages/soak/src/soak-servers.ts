/**
Servers of the soak test: stand-ins, which the store lists with the addresses of their relays. Servers can drain or
crash.
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
	/** When the server crashed or was published as draining. */
	leftAt: number | undefined;
};

/** A request that a server ran. */
export type SoakRun = RunRecord & Readonly<{server: SoakServer}>;

export type SoakServers = Readonly<{
	/** Returns a random server that is neither draining nor crashed. */
	drawServer(): SoakServer | undefined;
	/** Starts a replacement, publishes a server as draining and removes it after `removeAfterMs`. */
	drain(server: SoakServer, removeAfterMs: number): Promise<void>;
	/** Removes a server at once and starts a replacement, which also accepts requests at the old address. */
	crash(server: SoakServer): Promise<void>;
	getRuns(): readonly SoakRun[];
	getReservationCount(): number;
	/** Ends all faults of servers and of their relays. */
	removeFaults(): void;
	close(): Promise<void>;
}>;

const serverCounts: Readonly<Record<SoakService, number>> = {models: 4, shop: 3};
const eventPauseMs = 25;
const addressPortPattern = /:(?<port>\d+)$/v;

/** Starts the servers and publishes them in the store. */
export async function startSoakServers(store: PlatformStoreStandin, random: Random): Promise<SoakServers> {
	const servers: SoakServer[] = [];
	let serverCount = 0;

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
		});
		const targetPort = Number(addressPortPattern.exec(standin.address)?.groups?.port ?? 0);
		const server: SoakServer = {
			id, service, standin, relay: await startByteRelay(targetPort), leftAt: undefined,
		};
		servers.push(server);
		publishServer(server, 'ready');
		return server;
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
		async crash(server) {
			server.leftAt = performance.now();
			await removeServer(server);
			await startServer(server.service, server.relay.port);
		},
		getRuns: () => servers.flatMap(server => server.standin.runs.map(run => ({...run, server}))),
		getReservationCount: () => servers.reduce((sum, {standin}) => sum + standin.getReservations().length, 0),
		removeFaults() {
			for (const {standin, relay} of servers) {
				standin.setBehaviour({kind: 'serve'});
				relay.setFault({kind: 'none'});
			}
		},
		async close() {
			await Promise.all(servers.map(async server => removeServer(server)));
		},
	};
}
