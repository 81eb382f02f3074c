/**
Which orders to an engine may pass. An order states the whole wanted state, so that a repeat changes nothing.

The gate keeps the highest fencing number that it saw. It starts anew with each life of its agent, so the agent also
reads the lease before it acts.
*/

/** The whole state that an engine is wanted in. */
export type WantedState = Readonly<{model: string; version: string; role: string}>;

/** An order under a lease. */
export type Order = Readonly<{
	leaseName: string;
	fencingNumber: number;
	wanted: WantedState;
}>;

export type OrderOutcome
	= | Readonly<{kind: 'applied'}>
		| Readonly<{kind: 'refused'; highestFencingNumber: number}>
		/** The lease could not be read, or the engine did not answer; the order may be sent again. */
		| Readonly<{kind: 'failed'; detail: string}>;

export type OrderGate = Readonly<{
	/** Takes the order's number, or returns the refusal that names a higher one. */
	checkOrder(order: Order, storedFencingNumber: number): Extract<OrderOutcome, {kind: 'refused'}> | undefined;
}>;

/** Creates a gate that has seen no order. */
export function createOrderGate(): OrderGate {
	const highestByLease = new Map<string, number>();
	return {
		checkOrder(order, storedFencingNumber) {
			const seen = Math.max(highestByLease.get(order.leaseName) ?? 0, storedFencingNumber);
			highestByLease.set(order.leaseName, Math.max(seen, order.fencingNumber));
			return order.fencingNumber < seen ? {kind: 'refused', highestFencingNumber: seen} : undefined;
		},
	};
}
