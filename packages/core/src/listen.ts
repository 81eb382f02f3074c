/**
Starts a server and tells the port that it got.
*/

/** The part of a server of `node:net`, `node:http` or `node:http2` that is needed to start it. */
type ListeningServer = Readonly<{
	once(event: 'error', listener: (error: Error) => void): unknown;
	listen(options: ListenOptions, listener: () => void): unknown;
	address(): string | Readonly<{port: number}> | null; // eslint-disable-line @typescript-eslint/no-restricted-types -- the form of node:net
}>;

/** Where a server listens; port 0 takes any free one. */
export type ListenOptions = Readonly<{host: string; port: number; backlog?: number}>;

/**
Starts the server and returns its port.

@throws Error of the system when the address can't be had.
*/
export async function listen(server: ListeningServer, options: ListenOptions): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options, resolve);
	});
	const address = server.address();
	return typeof address === 'object' ? address?.port ?? 0 : 0;
}
