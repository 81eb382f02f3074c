/**
Relays bytes between two ends, and does to them what networks do: delays, holds up one way or both, resets, and goes
silent for good on connections that exist.
*/
import net from 'node:net';
import {listen} from '@currantcross/core/listen';

/** What happens to all connections, also new ones, until it is over. */
export type RelayFault
	= | Readonly<{kind: 'none'}>
		| Readonly<{kind: 'delay'; delayMs: number}>
	/** Bytes are held up and pass once it is over. */
		| Readonly<{kind: 'cut'; ways: 'both' | 'toTarget' | 'fromTarget'}>;

export type ByteRelay = Readonly<{
	port: number;
	setFault(fault: RelayFault): void;
	/** Drops all bytes of the connections that exist, for good; new ones work. */
	silence(): void;
	/** Resets the connections that exist. */
	reset(): void;
	/** Returns how many connections were opened through the relay. */
	getConnectionCount(): number;
	close(): Promise<void>;
}>;

type Way = 'toTarget' | 'fromTarget';

type Connection = {readonly near: net.Socket; readonly far: net.Socket; isSilent: boolean};

/** Starts a relay to a port on loopback. */
export async function startByteRelay(targetPort: number): Promise<ByteRelay> {
	const connections = new Set<Connection>();
	let held: Array<Readonly<{way: Way; pass: () => void}>> = [];
	let fault: RelayFault = {kind: 'none'};
	let connectionCount = 0;

	function isCut(way: Way): boolean {
		return fault.kind === 'cut' && (fault.ways === 'both' || fault.ways === way);
	}

	/** Passes on what came one way: now, later, or once the cut is over. */
	function deliver(way: Way, pass: () => void): void {
		if (isCut(way)) {
			held.push({way, pass});
		} else if (fault.kind === 'delay') {
			setTimeout(pass, fault.delayMs);
		} else {
			pass();
		}
	}

	function openWay(connection: Connection, way: Way): void {
		const [from, to] = way === 'toTarget' ? [connection.near, connection.far] : [connection.far, connection.near];
		from.on('data', data => {
			deliver(way, () => {
				if (!connection.isSilent && to.writable) {
					to.write(data);
				}
			});
		});
		from.on('close', () => {
			deliver(way, () => {
				if (!connection.isSilent) {
					to.destroy();
					connections.delete(connection);
				}
			});
		});
		from.on('error', () => {
			from.destroy();
		});
	}

	const server = net.createServer(near => {
		const far = net.connect(targetPort, '127.0.0.1');
		const connection: Connection = {near, far, isSilent: false};
		connectionCount += 1;
		connections.add(connection);
		openWay(connection, 'toTarget');
		openWay(connection, 'fromTarget');
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	return {
		port,
		setFault(next) {
			fault = next;
			const released = held.filter(({way}) => !isCut(way));
			held = held.filter(({way}) => isCut(way));
			for (const {pass} of released) {
				pass();
			}
		},
		silence() {
			for (const connection of connections) {
				connection.isSilent = true;
			}
		},
		reset() {
			for (const {near, far} of connections) {
				near.resetAndDestroy();
				far.resetAndDestroy();
			}

			connections.clear();
		},
		getConnectionCount: () => connectionCount,
		async close() {
			for (const {near, far} of connections) {
				near.destroy();
				far.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
