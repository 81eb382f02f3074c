/**
Tests when the loop counts as up to date, over real connections.
*/
import {once} from 'node:events';
import net, {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {listen} from './listen.js';
import {waitForRecentReads} from './loop-monitor.js';

/** Duration of a turn after which a send would reach its server too late for a caller who left in it. */
const longTurnMs = 700;
const settleMs = 50;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

function block(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Opens a connection and returns both of its ends. */
async function openConnection(): Promise<Readonly<{caller: Socket; accepted: Socket}>> {
	const server = net.createServer();
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	const caller = net.connect(port, '127.0.0.1');
	const [accepted] = await once(server, 'connection') as readonly [Socket]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	closers.push(() => {
		caller.destroy();
		accepted.destroy();
		server.close();
	});
	await wait(settleMs);
	return {caller, accepted};
}

// Guards against requests that are sent on over half a second after their callers have left, whose closes came in the turn of the send.
test.each([0, 1])('waits until a close has been read that came in a long turn, %i turns after the wait began', async turnsBefore => {
	const {caller, accepted} = await openConnection();
	let hasLeft = false;
	accepted.once('end', () => {
		hasLeft = true;
	}).resume();
	await wait(settleMs);
	const leave = (): void => {
		block(longTurnMs);
		caller.destroy();
	};

	const isKnown = await new Promise<boolean>(resolve => {
		setImmediate(() => {
			if (turnsBefore === 0) {
				leave();
			} else {
				setImmediate(leave);
			}
		});
		waitForRecentReads(() => {
			resolve(hasLeft);
		});
	});
	expect(isKnown).toBe(true);
});
