/**
Worker thread of the servers that record when requests reach them. The callers have another one: while their work keeps a thread from reading,
arrivals would be recorded too late.
*/
import process from 'node:process';
import {parentPort} from 'node:worker_threads';
import {createArrivalServers, type Arrival, type ResponseBehaviour} from './arrival-servers.js';

export type ArrivalServersCommand
	= | Readonly<{kind: 'startServers'; instanceIds: readonly string[]}>
		| Readonly<{kind: 'setBehaviour'; behaviour: ResponseBehaviour}>
		| Readonly<{kind: 'getArrivals'}>;

/** What each command is answered with: the addresses of all servers, and all arrivals so far. */
export type ArrivalServersReply = Readonly<{addresses: readonly string[]; arrivals: readonly Arrival[]}>;

const servers = createArrivalServers();
let addresses: readonly string[] = [];

async function handleCommand(command: ArrivalServersCommand): Promise<void> {
	switch (command.kind) {
		case 'startServers': {
			addresses = await Promise.all(command.instanceIds.map(async id => servers.startServer(id)));
			break;
		}

		case 'setBehaviour': {
			servers.setBehaviour(command.behaviour);
			break;
		}

		case 'getArrivals': {
			break;
		}
	}

	const reply: ArrivalServersReply = {addresses, arrivals: command.kind === 'getArrivals' ? servers.arrivals : []};
	parentPort?.postMessage(reply);
}

parentPort?.on('message', (command: ArrivalServersCommand) => {
	void handleCommand(command);
});
process.on('unhandledRejection', error => {
	throw error;
});
