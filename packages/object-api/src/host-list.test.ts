import net from 'node:net';
import {listen} from '@currantcross/core/listen';
import {afterEach, expect, test} from 'vitest';
import {createHostListClient, type HostList} from './host-list.js';

const timeoutMs = 2000;
const list = JSON.stringify({servers: [], entries: []});

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Reads the host list from a platform that answers with this status. */
async function readList(status: string): Promise<HostList | undefined> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(`HTTP/1.1 ${status} Status\r\nConnection: close\r\nContent-Length: ${list.length}\r\n\r\n${list}`);
		});
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	closers.push(() => {
		server.close();
	});
	return createHostListClient(`http://127.0.0.1:${port}`, timeoutMs).readIfChanged();
}

test('reads a host list', async () => {
	expect(await readList('200')).toEqual({servers: [], entries: []});
});

// Guards against the body of an error, or of no answer in HTTP, that is taken for a list without hosts.
test.each(['000', '206', '500', '600', '999'])('fails a read that is answered with the status %s', async status => {
	await expect(readList(status)).rejects.toMatchObject({name: 'HostListError'});
});
