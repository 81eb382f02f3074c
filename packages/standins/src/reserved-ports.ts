/**
Ports of loopback for processes that are told on which ones to listen.

A port that is found free may be taken by another process until it is listened on, and again while its process is restarted. So each process
that starts others reserves blocks of ports: it listens on the first port of a block for as long as it runs, and uses the others alone.
*/
import net from 'node:net';
import {once} from 'node:events';
import process from 'node:process';
import {listen} from '@currantcross/core/listen';

/** Start of a range below the ports of outgoing connections. */
const firstPort = 10_000;
const blockCount = 200;
const blockPorts = 40;
const host = '127.0.0.1';

type Block = Readonly<{firstPort: number; takenPorts: number}>;

let currentBlock: Block | undefined;
let lastReservation: Promise<unknown> = Promise.resolve();

/** Opens a server on a port. Returns the server, or `undefined` if the port is in use. */
async function openServer(port: number): Promise<net.Server | undefined> {
	const server = net.createServer(socket => {
		socket.destroy();
	});
	try {
		await listen(server, {host, port});
		return server;
	} catch {
		// In use by another process.
		return undefined;
	}
}

/** Reserves a block until this process ends. */
async function reserveBlock(): Promise<Block> {
	for (let index = 0; index < blockCount; index += 1) {
		const port = firstPort + (((process.pid + index) % blockCount) * blockPorts);
		const server = await openServer(port); // eslint-disable-line no-await-in-loop
		if (server !== undefined) {
			server.unref();
			return {firstPort: port, takenPorts: 1};
		}
	}

	throw new Error(`all ${blockCount} blocks of ports from ${firstPort} on are reserved`);
}

async function takePort(): Promise<number> {
	for (;;) {
		const block = currentBlock === undefined || currentBlock.takenPorts === blockPorts ? await reserveBlock() : currentBlock; // eslint-disable-line no-await-in-loop
		currentBlock = {...block, takenPorts: block.takenPorts + 1};
		const port = block.firstPort + block.takenPorts;
		// Programs that reserve nothing may listen on it.
		const server = await openServer(port); // eslint-disable-line no-await-in-loop
		if (server !== undefined) {
			server.close();
			await once(server, 'close'); // eslint-disable-line no-await-in-loop
			return port;
		}
	}
}

/** Reserves a port on which only this process and those that it starts listen. */
export async function reservePort(): Promise<number> {
	const reservation = lastReservation.then(takePort);
	lastReservation = reservation;
	return reservation;
}
