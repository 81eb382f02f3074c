/**
The ticket and the key that the demo and the process tests use.
*/
import {createHash} from 'node:crypto';

/** Bearer key of the only organisation in the ticket. */
export const demoKey = 'key-of-the-club';

/** Returns a ticket that sets up a deployment: two routes, their pools and one organisation. */
export function getDemoTicket(number: number): Readonly<{number: number; objects: readonly unknown[]}> {
	const keySha256 = createHash('sha256').update(demoKey).digest('hex');
	return {
		number,
		objects: [
			{kind: 'pool', name: 'models', state: {kind: 'model', engineMemoryTokens: 400_000}},
			{kind: 'pool', name: 'shop', state: {kind: 'business', engineMemoryTokens: 0}},
			{
				kind: 'route',
				name: 'rules-assistant',
				state: {
					kind: 'prompt',
					pool: 'models',
					model: 'base',
					defaultDeadlineMs: 30_000,
					maximumDeadlineMs: 120_000,
					maximumPromptTokens: 390_000,
					objective: {firstTokenMs: 390, share: 0.95},
				},
			},
			{
				kind: 'route',
				name: 'shop',
				state: {
					kind: 'service',
					pool: 'shop',
					defaultDeadlineMs: 5000,
					maximumDeadlineMs: 30_000,
					idempotentMethods: ['GET', 'HEAD'],
					objective: {firstTokenMs: 390, share: 0.95},
				},
			},
			{
				kind: 'organisation',
				name: 'skippers',
				state: {
					keySha256, requestsPerSecond: 1000, tokensPerSecond: 10_000_000, concurrentRequests: 1000,
				},
			},
		],
	};
}
