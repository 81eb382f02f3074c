/**
Connector for clients whose requests may be cancelled while their connection is opened. What cancels a request may have arrived meanwhile
and not been read, so the loop reads once more before the request is written.
*/
import {waitForReads} from '@currantcross/core/loop-monitor';
import type {buildConnector} from 'undici';
import VError from 'verror';

/** Code of the error for a connection that was lost before anything was written to it. */
export const unusedConnectionLostCode = 'CONNECTION_LOST_UNUSED';

/** Returns a connector that passes a connection on after the loop has read once more. */
export function createLateConnector(connect: buildConnector.connector): buildConnector.connector {
	return (options, callback) => {
		connect(options, (...[error, socket]) => {
			if (error !== null) {
				callback(error, socket);
				return;
			}

			waitForReads(() => {
				if (socket.destroyed) {
					callback(Object.assign(new VError('the connection was lost before it was used'), {code: unusedConnectionLostCode}), null);
				} else {
					callback(error, socket);
				}
			});
		});
	};
}
