/**
Connector for clients whose requests may be cancelled while their connection is opened. What cancels a request may have arrived meanwhile
and not been read, so the loop reads once more before the request is written.
*/
import {waitForRecentReads} from '@currantcross/core/loop-monitor';
import {buildConnector} from 'undici';

/** Returns a connector that passes a connection on after the loop has read once more. */
export function createLateConnector(options: buildConnector.BuildOptions): buildConnector.connector {
	const connect = buildConnector(options);
	return (connectOptions, callback) => {
		connect(connectOptions, (...[error, socket]) => {
			if (error !== null) {
				callback(error, socket);
				return;
			}

			// The client takes bytes that it finds on a new connection for an error, and would open another one at once.
			socket.pause();
			waitForRecentReads(() => {
				callback(error, socket);
			});
		});
	};
}
