/**
Brings the engines of each pool into the state that the configuration wants, under a lease for each pool.

Few entries want a lease, so that its reads do not grow with the entries. The holder sends each server the whole wanted
state once for each life of its agent and each change, and again until it was applied.
*/
import type {Configuration} from '@currantcross/core/configuration';
import type {Member} from '@currantcross/core/membership';
import type {DesiredState} from '@currantcross/core/order-fencing';
import type {PoolName, ServerName} from '@currantcross/core/types';
import type {AgentClient} from '@currantcross/peer/agent-client';
import {startLease, type LeaseDriver} from '@currantcross/object-api/lease-driver';
import type {ObjectApi} from '@currantcross/object-api/object-api';
import type {Logger} from './logger.js';

export type OrderReconcilerHost = Readonly<{
	configuration: Configuration;
	api: ObjectApi;
	agents: AgentClient;
	logger: Logger;
	getMembers(): Iterable<Member>;
	/** Returns whether this entry is one of the few that send orders. */
	isCandidate(): boolean;
}>;

export type OrderReconciler = Readonly<{close(): void}>;

const intervalMs = 1000;
const leaseDurationMs = 5000;
const leaseRetryMs = 300;

/** Starts the reconciliation under the name of this life of the process. */
export function startOrderReconciler(holder: string, host: OrderReconcilerHost): OrderReconciler {
	const leases = new Map<PoolName, LeaseDriver>();
	/** The order that each server last applied, as text. */
	const applied = new Map<ServerName, string>();
	const sending = new Set<ServerName>();
	const timer = setInterval(() => {
		reconcile();
	}, intervalMs);

	function getLeaseName(pool: PoolName): string {
		return `orders-${pool}`;
	}

	function setLease(pool: PoolName, isWanted: boolean): LeaseDriver | undefined {
		const current = leases.get(pool);
		if (!isWanted) {
			current?.close();
			leases.delete(pool);
			return undefined;
		}

		const lease = current ?? startLease(getLeaseName(pool), {holder, durationMs: leaseDurationMs, retryDelayMs: leaseRetryMs}, host.api);
		leases.set(pool, lease);
		return lease;
	}

	function reconcile(): void {
		const isCandidate = host.isCandidate();
		for (const [pool, {wanted}] of host.configuration.getPools()) {
			const lease = setLease(pool, isCandidate && wanted !== undefined);
			if (lease?.tryGetFencingNumber() !== undefined && wanted !== undefined) {
				reconcilePool(pool, wanted, lease);
			}
		}

		for (const pool of leases.keys()) {
			if (host.configuration.tryGetPool(pool) === undefined) {
				setLease(pool, false);
			}
		}
	}

	function reconcilePool(pool: PoolName, wanted: DesiredState, lease: LeaseDriver): void {
		for (const member of host.getMembers()) {
			if (member.server.pool === pool && !member.isLeaving) {
				void sendOrder(member, wanted, lease);
			}
		}
	}

	async function sendOrder(member: Member, wanted: DesiredState, lease: LeaseDriver): Promise<void> {
		const {name, agentUrl, pool} = member.server;
		const fencingNumber = lease.tryGetFencingNumber();
		const mark = JSON.stringify([wanted, fencingNumber, agentUrl, member.status?.permit.incarnation]);
		if (fencingNumber === undefined || applied.get(name) === mark || sending.has(name)) {
			return;
		}

		sending.add(name);
		try {
			const outcome = await host.agents.applyOrder(agentUrl, {leaseName: getLeaseName(pool), fencingNumber, wanted});
			if (outcome.kind === 'applied') {
				applied.set(name, mark);
			}

			host.logger.info('orderSent', {
				server: name, version: wanted.version, fencingNumber, outcome: outcome.kind,
			});
		} catch {
			host.logger.warn('orderSent', {server: name, fencingNumber, outcome: 'unanswered'});
		} finally {
			sending.delete(name);
		}
	}

	return {
		close() {
			clearInterval(timer);
			for (const lease of leases.values()) {
				lease.close();
			}
		},
	};
}
