/**
The schema of tickets. Unknown keys are rejected, and every problem is reported with the path of its key.
*/
import {z} from 'zod';
import type {Ticket, TicketObject} from './types.js';

const nameSchema = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits and hyphens');
const millisecondsSchema = z.number().int().positive();
const rateSchema = z.number().positive();

const objectiveSchema = z.strictObject({
	firstTokenMs: millisecondsSchema,
	share: z.number().gt(0).lt(1),
});

const promptRouteSchema = z.strictObject({
	kind: z.literal('prompt'),
	pool: nameSchema,
	model: z.string().min(1),
	defaultDeadlineMs: millisecondsSchema,
	maximumDeadlineMs: millisecondsSchema,
	maximumPromptTokens: z.number().int().positive(),
	objective: objectiveSchema,
});

const serviceRouteSchema = z.strictObject({
	kind: z.literal('service'),
	pool: nameSchema,
	defaultDeadlineMs: millisecondsSchema,
	maximumDeadlineMs: millisecondsSchema,
	idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])),
	objective: objectiveSchema,
});

const routeSchema = z.discriminatedUnion('kind', [promptRouteSchema, serviceRouteSchema])
	.refine(route => route.defaultDeadlineMs <= route.maximumDeadlineMs, {
		path: ['defaultDeadlineMs'], error: 'must be at most maximumDeadlineMs',
	});

const poolSchema = z.strictObject({
	kind: z.enum(['model', 'business']),
	engineMemoryTokens: z.number().int().min(0),
	wanted: z.strictObject({model: z.string().min(1), version: z.string().min(1), role: z.string().min(1)}).optional(),
});

const organisationSchema = z.strictObject({
	keySha256: z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 in lower-case hexadecimal'),
	requestsPerSecond: rateSchema,
	tokensPerSecond: rateSchema,
	concurrentRequests: z.number().int().positive(),
});

function createObjectSchema<Kind extends TicketObject['kind'], State>(kind: Kind, stateSchema: z.ZodType<State>) {
	return z.strictObject({
		kind: z.literal(kind),
		name: nameSchema,
		/** The complete new state; omitted if the object is removed. */
		state: stateSchema.optional(),
		removed: z.literal(true).optional(),
	}).refine(object => (object.state === undefined) === (object.removed === true), {
		path: ['state'], error: 'either state or "removed": true is required',
	});
}

const ticketSchema = z.strictObject({
	number: z.number().int().positive(),
	objects: z.array(z.union([
		createObjectSchema('route', routeSchema),
		createObjectSchema('pool', poolSchema),
		createObjectSchema('organisation', organisationSchema),
	])).min(1),
});

/** A validation problem in a document. */
export type Problem = Readonly<{
	/** Path of the key, such as `objects.0.state.pool`. */
	path: string;
	/** What is required at this path. */
	message: string;
}>;

export type ParsedTicket
	= | Readonly<{kind: 'valid'; ticket: Ticket}>
		| Readonly<{kind: 'invalid'; problems: readonly Problem[]}>;

type Issue = z.core.$ZodIssue;

/**
Converts an issue to problems. For a union, only the issues of the branch with a matching `kind` are converted, because
the other branches only report that the kind differs.
*/
function getIssueProblems(issue: Issue, prefix: readonly PropertyKey[]): readonly Problem[] {
	const path = [...prefix, ...issue.path];
	if (issue.code !== 'invalid_union' || issue.errors.length === 0) {
		return [{path: path.join('.'), message: issue.message}];
	}

	const matchingBranch = issue.errors.find(branch => !branch.some(branchIssue => branchIssue.code === 'invalid_value' && branchIssue.path.join('.') === 'kind'));
	const branchIssues = matchingBranch;
	if (branchIssues === undefined) {
		return [{path: [...path, 'kind'].join('.'), message: 'must be a known kind'}];
	}

	return branchIssues.flatMap(branchIssue => getIssueProblems(branchIssue, path));
}

/** Converts a validation error to problems, each with the path of its key. */
export function getProblems(error: z.ZodError): readonly Problem[] {
	return error.issues.flatMap(issue => getIssueProblems(issue, []));
}

/** Validates a ticket that was parsed from JSON. */
export function parseTicket(value: unknown): ParsedTicket {
	const result = ticketSchema.safeParse(value);
	if (!result.success) {
		return {kind: 'invalid', problems: getProblems(result.error)};
	}

	const {objects} = result.data;
	const keys = objects.map(object => `${object.kind}/${object.name}`);
	const duplicateIndex = keys.findIndex((key, index) => keys.indexOf(key) !== index);
	if (duplicateIndex !== -1) {
		return {kind: 'invalid', problems: [{path: `objects.${duplicateIndex}`, message: 'the ticket names this object twice'}]};
	}

	return {kind: 'valid', ticket: {number: result.data.number, objects}};
}
