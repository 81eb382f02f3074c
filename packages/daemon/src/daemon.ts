/**
What the daemons have in common.
*/

/** A daemon that runs. */
export type Daemon = Readonly<{
	/** Ports on which it listens, by purpose. */
	ports: Readonly<Record<string, number>>;
	/** Stops gracefully: no request in flight is cut off. */
	stop(): Promise<void>;
}>;
