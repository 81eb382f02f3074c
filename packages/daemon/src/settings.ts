/**
Settings of the daemons: a JSON file that is validated before the daemon starts; unknown properties are rejected.

Secret keys are never part of the settings, which name only the files that hold them.
*/
import {readFileSync} from 'node:fs';
import {readSettingsFile} from '@currantcross/operator/settings-file';
import {UsageError} from '@currantcross/operator/usage-error';
import {z} from 'zod';

const portSchema = z.number().int().min(0).max(65_535);
const nameSchema = z.string().min(1);
const urlSchema = z.url({protocol: /^https?$/v});

const logSchema = z.strictObject({
	level: z.enum(['error', 'warn', 'info', 'debug']),
});

const metricsSchema = z.strictObject({
	host: z.string().min(1),
	port: portSchema,
});

const peerListenerSchema = z.strictObject({
	host: z.string().min(1),
	port: portSchema,
	sharedKeyFile: z.string().min(1),
	tls: z.strictObject({
		certificateFile: z.string().min(1),
		keyFile: z.string().min(1),
		authorityFile: z.string().min(1),
	}).optional(),
});

const commonShape = {
	name: nameSchema,
	dataCentre: nameSchema,
	peer: peerListenerSchema,
	log: logSchema.default({level: 'info'}),
	metrics: metricsSchema.optional(),
};

const entrySchema = z.strictObject({
	role: z.literal('entry'),
	...commonShape,
	caller: z.strictObject({
		host: z.string().min(1),
		port: portSchema,
		maximumBodyBytes: z.number().int().positive().default(8_000_000),
	}),
	/** Memory that the process may use, in megabytes, and descriptors that it may have open: what callers make it hold is bounded by both. */
	memoryMb: z.number().positive().default(1000),
	maximumDescriptors: z.int().positive().default(8000),
	operator: z.strictObject({host: z.string().min(1), port: portSchema, keyFile: z.string().min(1)}),
	platform: z.strictObject({objectApiUrl: urlSchema, hostListUrl: urlSchema}),
	/** Other entries, used until the host list is read for the first time. */
	peers: z.array(z.strictObject({name: nameSchema, dataCentre: nameSchema, peerUrl: urlSchema})).default([]),
	claimBuckets: z.number().int().min(1).max(1024).default(4),
	/** How long new requests are still served after SIGTERM, since the load balancer keeps sending them until it notices the drain. */
	drainLagMs: z.number().int().min(0).default(5000),
	policy: z.enum(['lengthAware', 'leastOutstanding', 'roundRobin']).default('lengthAware'),
});

const agentSchema = z.strictObject({
	role: z.literal('agent'),
	...commonShape,
	server: z.strictObject({kind: z.enum(['model', 'business']), url: urlSchema}),
	/** Object API from which the lease is read before an order is applied; without it every order fails. */
	platform: z.strictObject({objectApiUrl: urlSchema}).optional(),
	limits: z.strictObject({
		maximumActive: z.number().int().positive().optional(),
		maximumLongActive: z.number().int().positive().optional(),
	}).default({}),
	/** How long the agent still answers queries about outcomes after its last attempt has ended. */
	drainLingerMs: z.number().int().min(0).default(2000),
});

const settingsSchema = z.discriminatedUnion('role', [entrySchema, agentSchema]);

export type EntryDaemonSettings = Readonly<z.infer<typeof entrySchema>>;
export type AgentDaemonSettings = Readonly<z.infer<typeof agentSchema>>;
export type DaemonSettings = EntryDaemonSettings | AgentDaemonSettings;

/**
Reads and validates a settings file.

@throws UsageError that names the file, the path of the invalid property and the expected value.
*/
export function readSettings(file: string): DaemonSettings {
	return readSettingsFile(file, settingsSchema);
}

/**
Reads a secret key from its file.

@throws UsageError that names the file if it can't be read or is empty.
*/
export function readKeyFile(file: string): string {
	let key: string;
	try {
		key = readFileSync(file, 'utf8').trim();
	} catch {
		throw new UsageError(`${file}: the key file can not be read`);
	}

	if (key === '') {
		throw new UsageError(`${file}: the key file is empty`);
	}

	return key;
}
