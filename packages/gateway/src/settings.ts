/**
Settings of a gateway: JSON, checked whole, unknown keys refused.
*/
import {readSettingsFile} from '@currantcross/operator/settings-file';
import {z} from 'zod';

const addressPattern = /^(?<ip>[\d.]+):(?<port>\d+)$/v;

const addressSchema = z.string().regex(addressPattern, 'must be IP:PORT');

const settingsSchema = z.strictObject({
	name: z.string().min(1),
	dataCentre: z.string().min(1),
	/** Where callers connect. */
	callerAddress: addressSchema,
	/** Where the balancer asks whether new connections may come. */
	readinessAddress: addressSchema,
	/** Where other gateways connect. */
	peerAddress: addressSchema,
	/** Keeps deployments apart that share a network; the same at all gateways of one. */
	peerKey: z.string().min(1).default('currantcross'),
	/** Where metrics are read. */
	metricsAddress: addressSchema,
	platformAddress: addressSchema,
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	/** Share of a processor that the host has; hosts with more of it relay for others. */
	processorShare: z.number().positive().default(1),
	/** Time between SIGTERM and SIGKILL. */
	graceMs: z.number().positive(),
	/** Longest time for which a key works after it was taken away; absent where it need not stop. */
	revocationMs: z.number().positive().optional(),
	retries: z.strictObject({
		ratio: z.number().min(0),
		fixedSends: z.number().min(0),
		windowMs: z.number().positive(),
	}),
});

export type GatewayDaemonSettings = Readonly<z.infer<typeof settingsSchema>>;

export type SocketAddress = Readonly<{host: string; port: number}>;

/** Returns the parts of a checked `IP:PORT`. */
export function parseAddress(address: string): SocketAddress {
	const [host = '', port = ''] = address.split(':');
	return {host, port: Number(port)};
}

/**
Reads and checks a settings file.

@throws UsageError that names the file, the key's path and what is wanted.
*/
export function readGatewaySettings(file: string): GatewayDaemonSettings {
	return readSettingsFile(file, settingsSchema);
}
