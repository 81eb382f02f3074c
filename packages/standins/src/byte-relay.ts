/**
TCP relay that injects network faults: it delays bytes, withholds them in one or both directions, resets connections, or
discards all further bytes of the open connections.
*/
import net from 'node:net';
import {listen} from '@currantcross/core/listen';

/** Fault that applies to all connections, including new ones, until another value is set. */
export type RelayFault
	= | Readonly<{kind: 'none'}>
		/** Bytes are forwarded after a delay. */
		| Readonly<{kind: 'delay'; delayMs: number}>
	/** Bytes are withheld, and forwarded in order once the fault ends. */
		| Readonly<{kind: 'cut'; directions: 'both' | 'toTarget' | 'fromTarget'}>;

export type ByteRelay = Readonly<{
	port: number;
	setFault(fault: RelayFault): void;
	/** Discards all further bytes of the open connections without closing them; new connections work. */
	blackholeConnections(): void;
	/** Resets the open connections. */
	resetConnections(): void;
	/** Returns how many connections the relay has accepted. */
	getConnectionCount(): number;
	close(): Promise<void>;
}>;

type Direction = 'toTarget' | 'fromTarget';

/** Relayed connection, which consists of a socket to the client and one to the target. */
type Connection = {readonly clientSocket: net.Socket; readonly targetSocket: net.Socket; isBlackholed: boolean};

/** Data and the close event of one direction of a connection, forwarded strictly in order. */
type ForwardingQueue = {readonly direction: Direction; readonly pending: Array<Readonly<{dueAt: number; forward: () => void}>>};

/** Starts a relay on loopback that forwards to another port on loopback. */
export async function startByteRelay(targetPort: number): Promise<ByteRelay> {
	const connections = new Set<Connection>();
	const queues = new Set<ForwardingQueue>();
	let fault: RelayFault = {kind: 'none'};
	let connectionCount = 0;

	function isCut(direction: Direction): boolean {
		return fault.kind === 'cut' && (fault.directions === 'both' || fault.directions === direction);
	}

	/** Forwards the items that are due, unless the direction is cut. */
	function deliverDueItems(queue: ForwardingQueue): void {
		for (let next = queue.pending[0]; next !== undefined && !isCut(queue.direction); next = queue.pending[0]) {
			const waitMs = next.dueAt - performance.now();
			if (waitMs > 0) {
				setTimeout(deliverDueItems, waitMs, queue);
				return;
			}

			queue.pending.shift();
			next.forward();
		}
	}

	function addToQueue(queue: ForwardingQueue, forward: () => void): void {
		queue.pending.push({dueAt: performance.now() + (fault.kind === 'delay' ? fault.delayMs : 0), forward});
		deliverDueItems(queue);
	}

	function startForwarding(connection: Connection, direction: Direction): void {
		const queue: ForwardingQueue = {direction, pending: []};
		queues.add(queue);
		const [source, destination] = direction === 'toTarget' ? [connection.clientSocket, connection.targetSocket] : [connection.targetSocket, connection.clientSocket];
		source.on('data', data => {
			addToQueue(queue, () => {
				if (!connection.isBlackholed && destination.writable) {
					destination.write(data);
				}
			});
		});
		source.on('close', () => {
			addToQueue(queue, () => {
				queues.delete(queue);
				if (!connection.isBlackholed) {
					destination.destroy();
					connections.delete(connection);
				}
			});
		});
		source.on('error', () => {
			source.destroy();
		});
	}

	const server = net.createServer(clientSocket => {
		const targetSocket = net.connect(targetPort, '127.0.0.1');
		const connection: Connection = {clientSocket, targetSocket, isBlackholed: false};
		connectionCount += 1;
		connections.add(connection);
		startForwarding(connection, 'toTarget');
		startForwarding(connection, 'fromTarget');
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	return {
		port,
		setFault(newFault) {
			fault = newFault;
			for (const queue of queues) {
				deliverDueItems(queue);
			}
		},
		blackholeConnections() {
			for (const connection of connections) {
				connection.isBlackholed = true;
			}
		},
		resetConnections() {
			for (const {clientSocket, targetSocket} of connections) {
				clientSocket.resetAndDestroy();
				targetSocket.resetAndDestroy();
			}

			connections.clear();
		},
		getConnectionCount: () => connectionCount,
		async close() {
			for (const {clientSocket, targetSocket} of connections) {
				clientSocket.destroy();
				targetSocket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
