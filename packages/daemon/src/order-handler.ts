/**
The agent's side of orders: one at a time, each checked against the numbers seen and against the lease as it stands.

An engine that ignores fencing numbers is protected by the order of things alone: the agent finishes one order before it
looks at the next, so an order that was held up by a pause comes before, never after, one from the next holder.
*/
import {getErrorText} from '@currantcross/core/error-text';
import {createOrderFencing, type Order, type OrderOutcome} from '@currantcross/core/order-fencing';
import type {ModelServer} from '@currantcross/endpoint/model-server';
import {readLease} from '@currantcross/object-api/lease-driver';
import type {ObjectApi} from '@currantcross/object-api/object-api';

export type OrderHandler = Readonly<{
	/** Applies an order after those that came before. Never throws. */
	applyOrder(order: Order): Promise<OrderOutcome>;
}>;

/** Creates the handler; without an object API, or beside a server without orders, every order fails. */
export function createOrderHandler(api: ObjectApi | undefined, server: ModelServer | undefined): OrderHandler {
	const gate = createOrderFencing();
	let last: Promise<unknown> = Promise.resolve();

	async function applyNow(order: Order): Promise<OrderOutcome> {
		if (api === undefined || server === undefined) {
			return {kind: 'failed', detail: 'this agent takes no orders'};
		}

		try {
			const stored = await readLease(api, order.leaseName);
			const refusal = gate.checkOrder(order, stored?.record.fencingNumber ?? 0);
			if (refusal !== undefined) {
				return refusal;
			}

			const isTaken = await server.sendOrder(order.wanted, order.fencingNumber);
			return isTaken ? {kind: 'applied'} : {kind: 'refused', highestFencingNumber: order.fencingNumber + 1};
		} catch (error) {
			return {kind: 'failed', detail: getErrorText(error)};
		}
	}

	async function applyAfter(previous: Promise<unknown>, order: Order): Promise<OrderOutcome> {
		await previous;
		return applyNow(order);
	}

	return {
		async applyOrder(order) {
			const outcome = applyAfter(last, order);
			last = outcome;
			return outcome;
		},
	};
}
