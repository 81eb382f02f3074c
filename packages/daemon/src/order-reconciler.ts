/**
Reconciles the engines of each pool with the desired state in the configuration, under one lease for each pool.

Only a few entries compete for a lease, so that the number of lease reads doesn't grow with the number of entries. The
holder sends the complete desired state to each server after every change and every restart of its agent, and retries
until it is applied.
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
	objectApi: ObjectApi;
	agentClient: AgentClient;
	logger: Logger;
	getMembers(): Iterable<Member>;
	/** Returns whether this entry is one of those that compete for the leases. */
	isCandidate(): boolean;
}>;

export type OrderReconciler = Readonly<{close(): void}>;

const reconcileIntervalMs = 1000;
const leaseDurationMs = 5000;
const leaseRetryMs = 300;

/** Starts the reconciliation; the leases store `holder`, which is unique to this run of the process. */
export function startOrderReconciler(holder: string, host: OrderReconcilerHost): OrderReconciler {
	const leases = new Map<PoolName, LeaseDriver>();
	/** Fingerprint of the order that each server last applied. */
	const appliedFingerprints = new Map<ServerName, string>();
	/** Servers to which an order is being sent. */
	const pendingServers = new Set<ServerName>();
	const timer = setInterval(() => {
		reconcile();
	}, reconcileIntervalMs);

	function getLeaseName(pool: PoolName): string {
		return `orders-${pool}`;
	}

	/** Starts or closes the driver of a pool's lease, depending on `isWanted`; returns the driver if it is wanted. */
	function reconcileLease(pool: PoolName, isWanted: boolean): LeaseDriver | undefined {
		const current = leases.get(pool);
		if (!isWanted) {
			current?.close();
			leases.delete(pool);
			return undefined;
		}

		const lease = current ?? startLease(getLeaseName(pool), {holder, durationMs: leaseDurationMs, retryDelayMs: leaseRetryMs}, host.objectApi);
		leases.set(pool, lease);
		return lease;
	}

	function reconcile(): void {
		const isCandidate = host.isCandidate();
		for (const [pool, {wanted}] of host.configuration.getPools()) {
			const lease = reconcileLease(pool, isCandidate && wanted !== undefined);
			if (lease?.tryGetFencingNumber() !== undefined && wanted !== undefined) {
				reconcilePool(pool, wanted, lease);
			}
		}

		for (const pool of leases.keys()) {
			if (host.configuration.tryGetPool(pool) === undefined) {
				reconcileLease(pool, false);
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
		const fingerprint = JSON.stringify([wanted, fencingNumber, agentUrl, member.status?.permit.incarnation]);
		if (fencingNumber === undefined || appliedFingerprints.get(name) === fingerprint || pendingServers.has(name)) {
			return;
		}

		pendingServers.add(name);
		try {
			const outcome = await host.agentClient.applyOrder(agentUrl, {leaseName: getLeaseName(pool), fencingNumber, desiredState: wanted});
			if (outcome.kind === 'applied') {
				appliedFingerprints.set(name, fingerprint);
			}

			host.logger.info('orderSent', {
				server: name, version: wanted.version, fencingNumber, outcome: outcome.kind,
			});
		} catch {
			host.logger.warn('orderSent', {server: name, fencingNumber, outcome: 'unanswered'});
		} finally {
			pendingServers.delete(name);
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
