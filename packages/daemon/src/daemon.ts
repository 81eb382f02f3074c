/**
Interface that all daemons share.
*/

/** A running daemon. */
export type Daemon = Readonly<{
	/** Listening ports, by purpose. */
	ports: Readonly<Record<string, number>>;
	/** Stops gracefully: requests in flight are finished first. */
	stop(): Promise<void>;
}>;
