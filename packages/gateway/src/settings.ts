/**
Schema of a gateway's JSON settings file. The file is validated as a whole, and unknown keys are rejected.
*/
import {readSettingsFile} from '@currantcross/operator/settings-file';
import {z} from 'zod';

const addressPattern = /^(?<ip>[\d.]+):(?<port>\d+)$/v;

const addressSchema = z.string().regex(addressPattern, 'must be IP:PORT');

/** The limit of the users' platform on reserved memory that no request uses. */
const defaultMemoryIdleMs = 9000;

const settingsSchema = z.strictObject({
	name: z.string().min(1),
	dataCentre: z.string().min(1),
	/** Listen address for callers. */
	callerAddress: addressSchema,
	/** Listen address for the load balancer's readiness checks. */
	readinessAddress: addressSchema,
	/** Listen address for other gateways. */
	peerAddress: addressSchema,
	/** Shared key of all gateways of a deployment; separates deployments on the same network. */
	peerKey: z.string().min(1).default('currantcross'),
	/** Listen address for metrics. */
	metricsAddress: addressSchema,
	/** Address of the platform's store. */
	platformAddress: addressSchema,
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	/** Share of a processor available to the host; gateways with a larger share are preferred as relays. */
	processorShare: z.number().positive().default(1),
	/** Memory of the host that the process may use, in megabytes; absent if what callers make it hold is not bounded by it. */
	memoryMb: z.number().positive().optional(),
	/** Descriptors that the process may have open; absent if the connections of callers are not bounded by it. */
	maximumDescriptors: z.int().positive().optional(),
	/** Time between SIGTERM and SIGKILL. */
	graceMs: z.number().positive(),
	/** Maximum time for which a revoked key is still accepted; absent if there is no such limit. */
	revocationMs: z.number().positive().optional(),
	/** Time for which endpoints may hold reserved memory that no request uses. */
	memoryIdleMs: z.number().positive().default(defaultMemoryIdleMs),
	/** Region of each data centre. */
	regions: z.record(z.string(), z.string()).default({}),
	/** Time within which an evacuated data centre's endpoints must get no more requests; absent if none is ever evacuated. */
	evacuationMs: z.number().positive().optional(),
	/** Limit on the requests to a cold endpoint in any second, of all gateways together: a ratio of what its service tolerates plus a fixed number. */
	coldEndpoints: z.strictObject({
		ratio: z.number().positive(),
		fixedRequests: z.number().min(0),
	}).optional(),
	/** Whether the priorities of routes and organisations decide what waits while there is less room than work. */
	urgency: z.strictObject({isEnabled: z.boolean()}).default({isEnabled: false}),
	/** Whether placements depend on the learned cost of requests and pace of endpoints. */
	workRouting: z.strictObject({isEnabled: z.boolean()}).default({isEnabled: false}),
	/** Whether requests that arrive before the first configuration has been read are held for a short time, in place of refused. */
	earlyRequests: z.strictObject({areHeld: z.boolean()}).default({areHeld: false}),
	/** Limit on sends beyond the first of each request: a ratio of the requests plus a fixed number for all gateways, per window. */
	retries: z.strictObject({
		ratio: z.number().min(0),
		fixedSends: z.number().min(0),
		windowMs: z.number().positive(),
	}),
});

export type GatewayDaemonSettings = Readonly<z.infer<typeof settingsSchema>>;

export type SocketAddress = Readonly<{host: string; port: number}>;

/** Splits an `IP:PORT` that the schema has validated. */
export function parseAddress(address: string): SocketAddress {
	const [host = '', port = ''] = address.split(':');
	return {host, port: Number(port)};
}

/**
Reads and validates a settings file, whose content `decode` may bring into the form of the schema.

@throws UsageError that names the file, the path of the key and the expected value.
*/
export function readGatewaySettings(file: string, decode: (settings: unknown) => unknown = settings => settings): GatewayDaemonSettings {
	return readSettingsFile(file, z.preprocess(decode, settingsSchema));
}
