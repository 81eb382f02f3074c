/**
Tests when a new connection is passed on to its client.
*/
import net, {type Socket} from 'node:net';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import type {buildConnector} from 'undici';
import {expect, test} from 'vitest';
import {createLateConnector, unusedConnectionLostCode} from './late-connector.js';

type Result = Readonly<{error: Error | undefined; socket: Socket | undefined}>;

/** Opens a connection that is there at once, and returns what is passed on, also later. */
function openAtOnce(socket: Socket): readonly Result[] {
	const results: Result[] = [];
	const connect = createLateConnector((_options, callback) => {
		callback(null, socket);
	});
	const options: buildConnector.Options = {hostname: '127.0.0.1', protocol: 'http:', port: '1'};
	connect(options, (...[error, connected]) => {
		results.push({error: error ?? undefined, socket: connected ?? undefined});
	});
	return results;
}

// Guards against a request that is written before the close of its caller is read, which came while its connection was opened.
test('a connection is passed on after the loop has read what arrived while it was opened', async () => {
	const socket = new net.Socket();
	const results = openAtOnce(socket);
	expect(results).toEqual([]);
	await waitForTurn();
	expect(results).toEqual([]);
	await waitForTurn();
	expect(results).toEqual([{error: undefined, socket}]);
});

test('a connection that is lost meanwhile fails as one to which nothing was written', async () => {
	const socket = new net.Socket();
	const results = openAtOnce(socket);
	socket.destroy();
	await waitForTurn();
	await waitForTurn();
	expect(results).toMatchObject([{error: {code: unusedConnectionLostCode}, socket: undefined}]);
});
