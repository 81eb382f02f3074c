/**
The driver of a lease: performs the reads and writes of the core's state machine at the object API, where the lease is
stored as the object `lease/NAME`.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {
	createLease, type LeaseAction, type LeaseEvent, type LeaseRecord, type LeaseSettings, type StoredLease,
} from '@currantcross/core/lease';
import type {ObjectApi} from './object-api.js';

export type LeaseDriver = Readonly<{
	/** Returns the fencing number while the lease is certainly held, otherwise `undefined`. */
	tryGetFencingNumber(): number | undefined;
	close(): void;
}>;

function getLeaseKey(name: string): string {
	return `lease/${name}`;
}

/**
Reads the stored state of a lease.

@throws VError named `ObjectApiError` if the object API answers with an error status; network errors are not wrapped.
*/
export async function readLease(objectApi: ObjectApi, name: string): Promise<StoredLease | undefined> {
	const stored = await objectApi.tryGet(getLeaseKey(name));
	return stored === undefined ? undefined : {record: parseTrustedJson<LeaseRecord>(stored.value), version: stored.version};
}

/** Starts a driver that acquires a lease as soon as it is free, and renews it until the driver is closed. */
export function startLease(name: string, settings: LeaseSettings, objectApi: ObjectApi): LeaseDriver {
	const lease = createLease(settings);
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;

	function step(event: LeaseEvent): void {
		if (isClosed) {
			return;
		}

		for (const action of lease.step(event, performance.now())) {
			void perform(action);
		}

		clearTimeout(timer);
		const wakeAt = lease.getWakeAt();
		if (Number.isFinite(wakeAt)) {
			timer = setTimeout(() => {
				step({kind: 'timePassed'});
			}, Math.max(1, wakeAt - performance.now()));
		}
	}

	async function perform(action: LeaseAction): Promise<void> {
		switch (action.kind) {
			case 'readLease': {
				await read();
				return;
			}

			case 'writeLease': {
				const value = JSON.stringify(action.record);
				const outcome = action.version === undefined
					? await objectApi.create(getLeaseKey(name), value)
					: await objectApi.update(getLeaseKey(name), value, action.version);
				step({kind: 'writeAnswered', outcome});
			}
		}
	}

	async function read(): Promise<void> {
		try {
			const stored = await readLease(objectApi, name);
			step({kind: 'leaseRead', stored});
		} catch {
			step({kind: 'readFailed'});
		}
	}

	step({kind: 'timePassed'});
	return {
		tryGetFencingNumber: () => lease.tryGetFencingNumber(performance.now()),
		close() {
			isClosed = true;
			clearTimeout(timer);
		},
	};
}
