/**
Starts a server and returns the port that was assigned to it.
*/

/** The part of the server interface of `node:net`, `node:http` and `node:http2` that is needed to start a server. */
type ListeningServer = Readonly<{
	once(event: 'error', listener: (error: Error) => void): unknown;
	listen(options: ListenOptions, listener: () => void): unknown;
	address(): string | Readonly<{port: number}> | null; // eslint-disable-line @typescript-eslint/no-restricted-types -- the return type in node:net
}>;

/** The address on which a server listens. Port 0 selects any free port. */
export type ListenOptions = Readonly<{host: string; port: number; backlog?: number}>;

/**
Starts the server and returns its port.

@throws The system error if the address is not available.
*/
export async function listen(server: ListeningServer, options: ListenOptions): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options, resolve);
	});
	const address = server.address();
	return typeof address === 'object' ? address?.port ?? 0 : 0;
}
