/**
A caller that sends a request and leaves if it gets nothing for a time.
*/
import net from 'node:net';
import {formatCallHeaders} from './platform-caller-standin.js';

/** How a caller leaves: it closes its connection, only its sending side, or resets it. */
export type Departure = 'close' | 'halfClose' | 'reset';

/** What came of a request: the status of the response, or when the caller left, by the shared clock. */
export type CallResult = Readonly<{requestId: string; status: number | undefined; leftAt: number | undefined}>;

const statusPattern = /^HTTP\/1\.1 (?<status>\d{3}) /v;
/** Time after which the rest of a connection is closed whose caller has closed its sending side. */
const halfOpenMs = 3000;

/** Returns the text of a GET request. */
export function formatRequest(path: string, requestId: string): string {
	const headers = formatCallHeaders({
		host: 'a.example', requestId, remainingMs: 5000, key: 'key-1', promptTokens: undefined,
	});
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
	return `GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/** Breaks a connection in the way in which its caller leaves. One that isn't open yet is given up, since an end would wait until it is. */
export function breakConnection(socket: net.Socket, departure: Departure): void {
	if (socket.connecting) {
		socket.destroy();
		return;
	}

	switch (departure) {
		case 'close': {
			socket.destroy();
			return;
		}

		case 'halfClose': {
			socket.end();
			setTimeout(() => {
				socket.destroy();
			}, halfOpenMs);
			return;
		}

		case 'reset': {
			socket.resetAndDestroy();
		}
	}
}

/** Opens a connection on which errors are ignored: the caller notices that nothing comes. */
export function openConnection(address: string): net.Socket {
	const [host = '', port = ''] = address.split(':');
	const socket = net.connect(Number(port), host);
	socket.on('error', () => undefined);
	return socket;
}

/** Waits until a socket has received a response and returns its status, or for `patienceMs`. */
export async function waitForStatus(socket: net.Socket, patienceMs: number): Promise<number | undefined> {
	return new Promise(resolve => {
		const handleData = (bytes: Uint8Array): void => {
			clearTimeout(timer);
			const status = statusPattern.exec(String(bytes))?.groups?.status;
			resolve(status === undefined ? undefined : Number(status));
		};

		const timer = setTimeout(() => {
			socket.off('data', handleData);
			resolve(undefined);
		}, patienceMs);
		socket.once('data', handleData);
	});
}
