/**
Relays bytes between two ends, and can go silent on the connections that exist: both ways dropped, neither closed.
*/
import net from 'node:net';
import {listen} from '@currantcross/core/listen';

export type ByteRelay = Readonly<{
	port: number;
	/** Drops all bytes of the connections that exist; new ones work. */
	silence(): void;
	/** Returns how many connections were opened through the relay. */
	getConnectionCount(): number;
	close(): Promise<void>;
}>;

type Connection = {readonly near: net.Socket; readonly far: net.Socket; isSilent: boolean};

/** Starts a relay to a port on loopback. */
export async function startByteRelay(targetPort: number): Promise<ByteRelay> {
	const connections = new Set<Connection>();
	let connectionCount = 0;

	function openWay(connection: Connection, from: net.Socket, to: net.Socket): void {
		from.on('data', data => {
			if (!connection.isSilent) {
				to.write(data);
			}
		});
		from.on('close', () => {
			if (!connection.isSilent) {
				to.destroy();
				connections.delete(connection);
			}
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
		openWay(connection, near, far);
		openWay(connection, far, near);
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	return {
		port,
		silence() {
			for (const connection of connections) {
				connection.isSilent = true;
			}
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
