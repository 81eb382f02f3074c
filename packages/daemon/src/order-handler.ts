/**
Handles orders at the agent, one at a time. Each order's fencing number is checked against the highest one seen and
against the stored lease.

Processing orders strictly in sequence also protects engines that ignore fencing numbers: the agent finishes an order
before it checks the next one, so an order delayed by a pause can't be applied after one from the next lease holder.
*/
import {getErrorText} from '@currantcross/core/error-text';
import {createOrderFencing, type Order, type OrderOutcome} from '@currantcross/core/order-fencing';
import type {ModelServerClient} from '@currantcross/endpoint/model-server';
import {readLease} from '@currantcross/object-api/lease-driver';
import type {ObjectApi} from '@currantcross/object-api/object-api';

export type OrderHandler = Readonly<{
	/** Applies an order once all earlier ones have finished. Never throws. */
	applyOrder(order: Order): Promise<OrderOutcome>;
}>;

/** Creates the handler. Without an object API or a model server, every order fails. */
export function createOrderHandler(objectApi: ObjectApi | undefined, modelServer: ModelServerClient | undefined): OrderHandler {
	const orderFencing = createOrderFencing();
	let lastOutcome: Promise<unknown> = Promise.resolve();

	async function applyNow(order: Order): Promise<OrderOutcome> {
		if (objectApi === undefined || modelServer === undefined) {
			return {kind: 'failed', detail: 'this agent takes no orders'};
		}

		try {
			const storedLease = await readLease(objectApi, order.leaseName);
			const refusal = orderFencing.checkOrder(order, storedLease?.record.fencingNumber ?? 0);
			if (refusal !== undefined) {
				return refusal;
			}

			const isAccepted = await modelServer.sendOrder(order.desiredState, order.fencingNumber);
			return isAccepted ? {kind: 'applied'} : {kind: 'refused', highestFencingNumber: order.fencingNumber + 1};
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
			const outcome = applyAfter(lastOutcome, order);
			lastOutcome = outcome;
			return outcome;
		},
	};
}
