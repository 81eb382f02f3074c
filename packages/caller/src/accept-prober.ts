/**
Connections that a server opens to itself, to learn how long others wait to be accepted. Connections are accepted in the order in which they
were opened, so that whatever is accepted after a probe was opened after it.
*/
import net, {type Socket} from 'node:net';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';

/** The address on which a server listens. */
type SocketAddress = Readonly<{host: string; port: number}>;

export type AcceptProber = Readonly<{
	/** Opens a probe to the address on which the server listens, unless the last one is recent or many are under way. */
	probe(address: SocketAddress): void;
	/** If the connection is a probe that the server has accepted, closes it and returns when it was opened. */
	tryTakeProbe(socket: Socket): Timestamp | undefined;
	close(): void;
}>;

export type AcceptProberHost = Readonly<{
	/** Called if a probe fails, with the code of its error. */
	recordFailure(code: string): void;
}>;

/** Time between probes, by which the age of a connection may be overestimated. */
const probeIntervalMs: Milliseconds = 200;
/** Number of probes that wait to be accepted. */
const maximumProbes = 32;
/** Time after which a probe is given up that isn't accepted. */
const probeTimeoutMs: Milliseconds = 10_000;
const anyAddresses: ReadonlyMap<string, string> = new Map([['0.0.0.0', '127.0.0.1'], ['::', '::1']]);

/** Creates a prober without probes. */
export function createAcceptProber({recordFailure}: AcceptProberHost): AcceptProber {
	/** When each probe under way was opened. */
	const probes = new Map<Socket, Timestamp>();
	let lastOpenedAt = Number.NEGATIVE_INFINITY;

	function endProbe(socket: Socket): void {
		probes.delete(socket);
		socket.destroy();
	}

	return {
		probe({host, port}) {
			const now = performance.now();
			if (probes.size >= maximumProbes || now - lastOpenedAt < probeIntervalMs) {
				return;
			}

			const socket = net.connect({host: anyAddresses.get(host) ?? host, port});
			lastOpenedAt = now;
			probes.set(socket, now);
			socket.setTimeout(probeTimeoutMs, () => {
				recordFailure('ETIMEDOUT');
				endProbe(socket);
			});
			socket.on('error', (error: NodeJS.ErrnoException) => {
				recordFailure(error.code ?? error.name);
				endProbe(socket);
			});
		},
		tryTakeProbe(socket) {
			for (const [probe, openedAt] of probes) {
				if (socket.remotePort === probe.localPort && socket.remoteAddress === probe.localAddress) {
					socket.destroy();
					endProbe(probe);
					return openedAt;
				}
			}

			return undefined;
		},
		close() {
			for (const probe of probes.keys()) {
				endProbe(probe);
			}
		},
	};
}
