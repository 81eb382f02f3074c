/**
Servers that record when requests reach them, for tests of what is sent on for callers that have left.
*/
import http from 'node:http';
import {listen} from '@currantcross/core/listen';
import {getSharedTime} from './shared-clock.js';

/** How the servers respond. */
export type ResponseBehaviour
	= | Readonly<{kind: 'serve'}>
	/** Serves each request between `fromMs` and `toMs` after it arrived. */
		| Readonly<{kind: 'serveLater'; fromMs: number; toMs: number}>
	/** Refuses each request as not run, `afterMs` after it arrived. */
		| Readonly<{kind: 'refuse'; afterMs: number}>;

/** When a request reached a server, by the shared clock. */
export type Arrival = Readonly<{requestId: string; at: number}>;

export type ArrivalServers = Readonly<{
	arrivals: readonly Arrival[];
	setBehaviour(behaviour: ResponseBehaviour): void;
	/** Starts a server and returns its address. */
	startServer(instanceId: string): Promise<string>;
}>;

/** Creates servers that serve at once. */
export function createArrivalServers(): ArrivalServers {
	const arrivals: Arrival[] = [];
	let behaviour: ResponseBehaviour = {kind: 'serve'};

	function sendDone(response: http.ServerResponse, requestId: string, instanceId: string): void {
		response.writeHead(200, {'request-id': requestId, 'response-stamp': `stamp-${instanceId}`, 'content-length': '4'});
		response.end('done');
	}

	function handleRequest(requestId: string, instanceId: string, response: http.ServerResponse): void {
		switch (behaviour.kind) {
			case 'serve': {
				sendDone(response, requestId, instanceId);
				return;
			}

			case 'serveLater': {
				const {fromMs, toMs} = behaviour;
				setTimeout(() => {
					sendDone(response, requestId, instanceId);
				}, fromMs + (Math.random() * (toMs - fromMs)));
				return;
			}

			case 'refuse': {
				setTimeout(() => {
					response.writeHead(503, {'request-id': requestId, 'not-run': '1', 'content-length': '0'});
					response.end();
				}, behaviour.afterMs);
			}
		}
	}

	return {
		arrivals,
		setBehaviour(newBehaviour) {
			behaviour = newBehaviour;
		},
		async startServer(instanceId) {
			const server = http.createServer((message, response) => {
				message.resume();
				if (message.url === '/currantcross/report') {
					response.end('{"waiting":0,"running":0}');
					return;
				}

				const requestId = String(message.headers['request-id']);
				arrivals.push({requestId, at: getSharedTime()});
				handleRequest(requestId, instanceId, response);
			});
			return `127.0.0.1:${await listen(server, {host: '127.0.0.1', port: 0})}`;
		},
	};
}
