/**
Fencing of orders to an engine, so that orders from a previous holder of the lease are refused.

An order states the complete desired state and is therefore idempotent. The highest fencing number seen is only kept in
memory and is lost when the agent restarts, so the agent also reads the stored lease before it applies an order.
*/

/** The complete desired state of an engine. */
export type DesiredState = Readonly<{model: string; version: string; role: string}>;

/** An order under a lease. */
export type Order = Readonly<{
	leaseName: string;
	fencingNumber: number;
	desiredState: DesiredState;
}>;

export type OrderOutcome
	= | Readonly<{kind: 'applied'}>
		| Readonly<{kind: 'refused'; highestFencingNumber: number}>
		/** The lease could not be read or the engine did not answer; the order can be retried. */
		| Readonly<{kind: 'failed'; detail: string}>;

export type OrderFencing = Readonly<{
	/** Records the order's fencing number; returns a refusal if a higher one was seen or is stored. */
	checkOrder(order: Order, storedFencingNumber: number): Extract<OrderOutcome, {kind: 'refused'}> | undefined;
}>;

/** Creates the fencing of an agent that has received no order yet. */
export function createOrderFencing(): OrderFencing {
	const highestByLease = new Map<string, number>();
	return {
		checkOrder(order, storedFencingNumber) {
			const highestFencingNumber = Math.max(highestByLease.get(order.leaseName) ?? 0, storedFencingNumber);
			highestByLease.set(order.leaseName, Math.max(highestFencingNumber, order.fencingNumber));
			return order.fencingNumber < highestFencingNumber ? {kind: 'refused', highestFencingNumber} : undefined;
		},
	};
}
