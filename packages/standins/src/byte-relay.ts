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

/** What comes one way of a connection, in order: nothing overtakes what came before. */
type Lane = {readonly way: Way; readonly waiting: Array<Readonly<{dueAt: number; pass: () => void}>>};

/** Starts a relay to a port on loopback. */
export async function startByteRelay(targetPort: number): Promise<ByteRelay> {
	const connections = new Set<Connection>();
	const lanes = new Set<Lane>();
	let fault: RelayFault = {kind: 'none'};
	let connectionCount = 0;

	function isCut(way: Way): boolean {
		return fault.kind === 'cut' && (fault.ways === 'both' || fault.ways === way);
	}

	/** Passes on what is due and not held up. */
	function deliverDue(lane: Lane): void {
		for (let next = lane.waiting[0]; next !== undefined && !isCut(lane.way); next = lane.waiting[0]) {
			const waitMs = next.dueAt - performance.now();
			if (waitMs > 0) {
				setTimeout(deliverDue, waitMs, lane);
				return;
			}

			lane.waiting.shift();
			next.pass();
		}
	}

	function addToLane(lane: Lane, pass: () => void): void {
		lane.waiting.push({dueAt: performance.now() + (fault.kind === 'delay' ? fault.delayMs : 0), pass});
		deliverDue(lane);
	}

	function openWay(connection: Connection, way: Way): void {
		const lane: Lane = {way, waiting: []};
		lanes.add(lane);
		const [from, to] = way === 'toTarget' ? [connection.near, connection.far] : [connection.far, connection.near];
		from.on('data', data => {
			addToLane(lane, () => {
				if (!connection.isSilent && to.writable) {
					to.write(data);
				}
			});
		});
		from.on('close', () => {
			addToLane(lane, () => {
				lanes.delete(lane);
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
			for (const lane of lanes) {
				deliverDue(lane);
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
